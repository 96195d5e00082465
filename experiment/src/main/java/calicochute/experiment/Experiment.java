package calicochute.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An experiment as configured by the operator. Fields that the configuration omits arrive as null or 0 and get their
 * defaults here; {@link ExperimentValidator} checks the values.
 *
 * @param name unique name, part of the assignment hash
 * @param salt part of the assignment hash: repeating an experiment with another salt assigns the units anew
 * @param unit what is assigned as a whole
 * @param control servers of the control arm
 * @param treatment servers of the treatment arm
 * @param share initial share of the units that go to the treatment, in (0, 1)
 * @param lanes the request classes that take part
 * @param tenants the tenants that take part; empty for all
 * @param measure the measure that is compared
 * @param least the smallest difference of the measure that matters, in (0, 1)
 * @param error bound on the probability of a false verdict, in (0, 0.5)
 * @param guards limits on additional failures in the treatment
 * @param longest duration after which the experiment ends undecided
 * @param after what follows a verdict for the treatment
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
    /** The unit of assignment: a call together with its retries, or a tenant. */
    public enum Unit {
        SESSION,
        TENANT
    }

    /**
     * Selects servers by their properties in the discovery list. An empty component matches every server. In `id`, `*`
     * matches any number of characters.
     */
    public record Selector(String kind, String cell, String zone, String id) {
        public Selector {
            kind = kind == null ? "" : kind;
            cell = cell == null ? "" : cell;
            zone = zone == null ? "" : zone;
            id = id == null ? "" : id;
        }

        /** Whether all components match the server. */
        public boolean selects(Server server) {
            return (kind.isEmpty() || kind.equals(server.kind()))
                    && (cell.isEmpty() || cell.equals(server.cell()))
                    && (zone.isEmpty() || zone.equals(server.zone()))
                    && (id.isEmpty() || matches(id, server.id()));
        }

        /**
         * Matches with backtracking to the last star only, so that the time is at most the product of both lengths for
         * any pattern.
         */
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

    /** A server as listed by discovery. */
    public record Server(String id, String kind, String cell, String zone, double weight) {}

    /**
     * The measure of an experiment: the share of the requested worth that was served within the objective.
     *
     * @param most cap on the worth of a session, which is its weight; 0 to weight all sessions equally
     * @param quantile the quantile of earlier worths from which `most` was taken; informational
     */
    public record Measure(double most, double quantile) {
        /** Returns a measure whose cap is a quantile of the worths seen before the experiment. */
        public static Measure atQuantile(double quantile, Collection<Double> worths) {
            List<Double> sorted = new ArrayList<>(worths);
            sorted.sort(null);
            int index = (int) Math.ceil(quantile * sorted.size()) - 1;
            return new Measure(
                    sorted.isEmpty() ? 0 : sorted.get(Math.max(0, Math.min(sorted.size() - 1, index))), quantile);
        }
    }

    /**
     * A limit on failures of one lane.
     *
     * @param worse largest allowed difference of the failure rates, treatment minus control; 0.01 is one percentage
     *     point
     */
    public record Guard(String lane, double worse) {}

    /**
     * The rollout that follows a verdict for the treatment.
     *
     * @param steps increasing shares of the treatment; empty for no rollout
     * @param each for how long each step is held at least
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

    /** The lanes sorted by name, the order of lane indexes in counts and states. */
    List<String> sortedLanes() {
        return List.copyOf(new TreeSet<>(lanes));
    }

    /** Whether sessions of the lane and tenant take part. */
    public boolean includes(String lane, String tenant) {
        return lanes.contains(lane) && (tenants.isEmpty() || tenants.contains(tenant));
    }
}
