package calicochute.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An experiment as the operator wrote it. What is left out is null or 0 in what a reader binds and gets its default
 * here; whether it makes sense is {@link ExperimentCheck}'s matter.
 *
 * @param salt drawn into the assignment: the same experiment run again under another salt splits the units anew
 * @param share of the units that go to the treatment, at first
 * @param lanes the classes in it
 * @param tenants in it; none named: all
 * @param least the smallest difference of the measure that matters, in (0, 1)
 * @param error of all verdicts, at most this part are false
 * @param longest after which it ends undecided
 */
public record Experiment(
        String name,
        String salt,
        Unit unit,
        Selector control,
        Selector treatment,
        double share,
        Set<String> lanes,
        Set<String> tenants,
        Measure measure,
        double least,
        double error,
        List<Guard> guards,
        Duration longest,
        After after) {
    /** What is assigned as a whole: each call (with its retries), or each tenant. */
    public enum Unit {
        SESSION,
        TENANT
    }

    /**
     * Servers by what the list says of them; an empty part takes all. In `id`, `*` stands for any run of characters.
     */
    public record Selector(String kind, String cell, String zone, String id) {
        public Selector {
            kind = kind == null ? "" : kind;
            cell = cell == null ? "" : cell;
            zone = zone == null ? "" : zone;
            id = id == null ? "" : id;
        }

        public boolean selects(Server server) {
            return (kind.isEmpty() || kind.equals(server.kind()))
                    && (cell.isEmpty() || cell.equals(server.cell()))
                    && (zone.isEmpty() || zone.equals(server.zone()))
                    && (id.isEmpty() || matches(id, server.id()));
        }

        /** Linear but for the last star's retries: no pattern can make it run away. */
        private static boolean matches(String pattern, String text) {
            int patternIndex = 0;
            int textIndex = 0;
            int starIndex = -1;
            int starMatchEnd = 0;
            while (textIndex < text.length()) {
                if (patternIndex < pattern.length() && pattern.charAt(patternIndex) == '*') {
                    starIndex = patternIndex++;
                    starMatchEnd = textIndex;
                } else if (patternIndex < pattern.length() && pattern.charAt(patternIndex) == text.charAt(textIndex)) {
                    patternIndex++;
                    textIndex++;
                } else if (starIndex >= 0) {
                    patternIndex = starIndex + 1;
                    textIndex = ++starMatchEnd;
                } else {
                    return false;
                }
            }
            while (patternIndex < pattern.length() && pattern.charAt(patternIndex) == '*') {
                patternIndex++;
            }
            return patternIndex == pattern.length();
        }
    }

    /** A server as discovery lists it. */
    public record Server(String id, String kind, String cell, String zone, double weight) {}

    /**
     * Worth served within the aim, of the worth asked for.
     *
     * @param most a session counts by its worth, and as no more than this; 0: all sessions count alike
     * @param quantile of the worths seen before, at which `most` was taken: only told with the verdict
     */
    public record Measure(double most, double quantile) {
        /** From worths seen before the experiment. */
        public static Measure atQuantile(double quantile, Collection<Double> worths) {
            List<Double> sorted = new ArrayList<>(worths);
            sorted.sort(null);
            int index = (int) Math.ceil(quantile * sorted.size()) - 1;
            return new Measure(
                    sorted.isEmpty() ? 0 : sorted.get(Math.max(0, Math.min(sorted.size() - 1, index))), quantile);
        }
    }

    /** Failures of a lane may be at most `worse` (0.01: one point) more often in the treatment. */
    public record Guard(String lane, double worse) {}

    /**
     * What follows a verdict for the treatment: nothing (no steps), or the shares to go through, each held for a time.
     */
    public record After(List<Double> steps, Duration each) {
        public After {
            steps = steps == null ? List.of() : List.copyOf(steps);
            each = each == null ? Duration.ofMinutes(10) : each;
        }
    }

    public Experiment {
        name = name == null ? "" : name;
        salt = salt == null ? "" : salt;
        unit = unit == null ? Unit.SESSION : unit;
        lanes = lanes == null ? Set.of() : Set.copyOf(lanes);
        tenants = tenants == null ? Set.of() : Set.copyOf(tenants);
        measure = measure == null ? new Measure(0, 1) : measure;
        guards = guards == null ? List.of() : List.copyOf(guards);
        longest = longest == null ? Duration.ofDays(1) : longest;
        after = after == null ? new After(null, null) : after;
    }

    /** In the order in which counts and states hold them, the same everywhere. */
    List<String> sortedLanes() {
        return List.copyOf(new TreeSet<>(lanes));
    }

    /** Whether a session is in it at all. */
    public boolean includes(String lane, String tenant) {
        return lanes.contains(lane) && (tenants.isEmpty() || tenants.contains(tenant));
    }
}
