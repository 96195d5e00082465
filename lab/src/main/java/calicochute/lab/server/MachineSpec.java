package calicochute.lab.server;

import calicochute.lab.scenario.Scenario.Kind;

/**
 * One machine as drawn for a run: its kind and its individual values. {@code speed} is that of one core;
 * {@code reportEvery} and {@code reportDelay} are the microseconds between two load reports and those after which a
 * report becomes visible.
 */
public record MachineSpec(
        String id,
        int tier,
        int index,
        String zone,
        int cell,
        Kind kind,
        double speed,
        long reportEvery,
        long reportDelay) {
    /** Microseconds of work that the machine does per microsecond when it is warm and all cores are busy. */
    public double capacity() {
        return kind.cores() * speed;
    }

    /** How many requests the machine works on at a time. */
    public int slots() {
        return (int) Math.max(1, Math.round(kind.slots() * kind.cores()));
    }

    /** How many requests may wait for a slot. */
    public int queue() {
        return (int) Math.round(kind.queue() * kind.cores());
    }
}
