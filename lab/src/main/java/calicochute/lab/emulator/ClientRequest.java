package calicochute.lab.emulator;

import calicochute.lab.plan.Arrival;

/** One request of a client over all its tries, and how it ended. Written only on the event loop's thread. */
public final class ClientRequest {
    /** How the request ended for its client. */
    public enum End {
        OPEN,
        SERVED,
        LATE,
        DENIED,
        FAILED,
        UNREACHABLE,
        TIMED_OUT
    }

    public final Arrival arrival;
    /** When its first try was planned, in Unix microseconds. Latency counts from here, even if the lab sent it late. */
    public final long plannedAt;

    public End end = End.OPEN;
    /** Unix time in microseconds; 0 until the request has ended. */
    public long endedAt;

    public int tries;
    /** How many of the tries a balancer denied. */
    public int denials;
    /** Dispatches that servers of each tier have received for the request. */
    public final int[] dispatches;
    /** Microseconds of work that servers did for the request. */
    public double workDone;

    /** The part of that work that went into the response that the client got. */
    public double workUsed;

    ClientRequest(Arrival arrival, long plannedAt, int tiers) {
        this.arrival = arrival;
        this.plannedAt = plannedAt;
        dispatches = new int[tiers];
    }

    /** Whether the client got a response, in time or late. */
    public boolean answered() {
        return end == End.SERVED || end == End.LATE;
    }
}
