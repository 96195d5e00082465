package calicochute.lab.emulator;

import calicochute.lab.plan.Arrival;

/** What became of one client's request over all its tries. Only the world's thread writes to it. */
public final class Root {
    /** How it ended for its client. */
    public enum End {
        OPEN,
        SERVED,
        LATE,
        DENIED,
        FAILED,
        UNREACHABLE,
        SILENT
    }

    public final Arrival arrival;
    /** When its first try was to be sent: latencies count from here, however late the lab itself was. */
    public final long plannedAt;

    public End end = End.OPEN;
    public long endedAt;
    public int tries;
    public int denials;
    /** Dispatches on its behalf at each tier. */
    public final int[] dispatches;
    /** Work that servers did for it, and the part that went into the answer its client got. */
    public double workDone;

    public double workUsed;

    Root(Arrival arrival, long plannedAt, int tiers) {
        this.arrival = arrival;
        this.plannedAt = plannedAt;
        dispatches = new int[tiers];
    }

    public boolean answered() {
        return end == End.SERVED || end == End.LATE;
    }
}
