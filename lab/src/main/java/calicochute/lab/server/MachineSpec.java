package calicochute.lab.server;

import calicochute.lab.scenario.Scenario.Kind;

/**
 * One machine as drawn: what its kind says, with its own speed. {@code speed} is that of one core; {@code reportEvery}
 * and {@code reportDelay} say in microseconds how often its load report is taken anew and how late it is seen.
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
    /** Work in microseconds that it does in a microsecond, warm and with all cores busy. */
    public double capacity() {
        return kind.cores() * speed;
    }

    public int slots() {
        return (int) Math.max(1, Math.round(kind.slots() * kind.cores()));
    }

    public int queue() {
        return (int) Math.round(kind.queue() * kind.cores());
    }
}
