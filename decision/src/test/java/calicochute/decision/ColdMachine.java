package calicochute.decision;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Rules;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One process of a server: slots with a queue, slower while cold; one ill fails all calls at once or is a tenth as
 * fast. It never falls; what would have felled it is counted.
 */
final class ColdMachine {
    static final int SLOTS = 4;
    private static final int QUEUE = 40;
    private static final long SECOND = 1_000_000;

    /** Work is in sessions of mean work; {@code told}: its sender knew of the start. */
    private record Landed(long at, double work, boolean told) {}

    enum Illness {
        NONE,
        FAILS,
        SLOW
    }

    final String id;
    private final String zone;
    /** Sessions of mean work a second once warm, and of a server of size 1. */
    private final double capacity, unit;
    /** What the list says of its size. */
    private final double weight;
    /** 0: long ago, warm from the beginning. */
    final long startedAt;

    private final Agenda agenda;
    private final Rules rules;
    private final List<Landed> landed = new ArrayList<>();
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    int busy;
    boolean lost;
    /** Replaced: what knows of that calls it no more. */
    boolean gone;

    Illness illness = Illness.NONE;
    long idleSince;

    ColdMachine(
            String id,
            String zone,
            long startedAt,
            double unit,
            double size,
            double weight,
            Rules rules,
            Agenda agenda) {
        this.id = id;
        this.zone = zone;
        this.startedAt = startedAt;
        this.unit = unit;
        this.weight = weight;
        capacity = unit * size;
        this.rules = rules;
        this.agenda = agenda;
        idleSince = agenda.now;
    }

    Backend entry(BackendState state) {
        return new Backend(id, zone, 0, weight, state, startedAt, "k");
    }

    boolean cold(long at) {
        return startedAt > 0 && at < startedAt + rules.warmUp();
    }

    private double warmth(long at) {
        double age = startedAt == 0 ? rules.warmUp() : at - startedAt;
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.min(1, age / rules.warmUp());
    }

    /** False where it is gone or full. */
    boolean take(double work, boolean told, Runnable done) {
        if (lost) {
            return false;
        }
        landed.add(new Landed(agenda.now, work, told));
        if (illness == Illness.FAILS || busy >= slots() && queue.size() == QUEUE) {
            return false;
        }
        double speed = unit * warmth(agenda.now) * (illness == Illness.SLOW ? 0.1 : 1);
        queue.add(() -> agenda.after((long) (SLOTS * work / speed * SECOND), () -> {
            busy--;
            idleSince = agenda.now;
            if (!lost) {
                done.run();
            }
            next();
        }));
        next();
        return true;
    }

    private long slots() {
        return Math.round(SLOTS * capacity / unit);
    }

    private void next() {
        if (busy < slots() && !queue.isEmpty()) {
            busy++;
            queue.remove().run();
        }
    }

    /** Work it could do in the span before now, and work that came then. */
    double possible(long span) {
        return capacity * warmth(agenda.now) * span / SECOND;
    }

    double came(long span) {
        return landed.stream()
                .filter(l -> l.at > agenda.now - span)
                .mapToDouble(Landed::work)
                .sum();
    }

    /** What may reach it within a fall span: N = multiple x present capacity x span, and the slack for chance. */
    private double budget(long at) {
        double n = rules.fallMultiple() * capacity * warmth(at) * rules.fall() / SECOND;
        return n + 2 * Math.sqrt(n) + 2;
    }

    /**
     * The worst fall span while it was cold, as a share of the budget at its end: of all that came, and of what came
     * from senders that knew. By the rule it is broken where all is over the budget and over two thirds came from
     * those.
     */
    record Worst(double all, double told, boolean broken) {}

    Worst worst() {
        double all = 0, told = 0, most = 0, mostTold = 0;
        boolean broken = false;
        int from = 0;
        for (Landed l : landed) {
            if (!cold(l.at)) {
                break;
            }
            all += l.work;
            told += l.told ? l.work : 0;
            for (; landed.get(from).at <= l.at - rules.fall(); from++) {
                all -= landed.get(from).work;
                told -= landed.get(from).told ? landed.get(from).work : 0;
            }
            most = Math.max(most, all / budget(l.at));
            mostTold = Math.max(mostTold, told / budget(l.at));
            broken |= all > budget(l.at) && told > all * 2 / 3;
        }
        return new Worst(most, mostTold, broken);
    }
}
