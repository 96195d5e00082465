package calicochute.exchange;

import calicochute.decision.Balancer.Outcome;

/** One attempt to execute a session on one backend server. */
public final class Dispatch {
    public final Exchange exchange;
    public final int number;
    public final String server;
    /** When the dispatch was made, in microseconds of the decision queue. */
    public final long sentAt;
    /**
     * From this time on (microseconds of the decision queue) the dispatch must not be sent: opening a connection takes
     * time, and the rules that allow the dispatch now may forbid it by then.
     */
    public final long notAfter;

    private Outcome outcome;

    Dispatch(Exchange exchange, int number, String server, long sentAt, long notAfter) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.notAfter = notAfter;
    }

    /** Records the outcome; returns false if one was recorded already. */
    public boolean end(Outcome newOutcome) {
        if (outcome != null) {
            return false;
        }
        outcome = newOutcome;
        return true;
    }

    /** Whether the outcome is still unknown. */
    public boolean pending() {
        return outcome == null;
    }

    /** Whether a complete response was received. */
    public boolean succeeded() {
        return outcome == Outcome.OK;
    }

    /** False only if the outcome proves that the backend server did not execute the session. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.provesNotRun();
    }
}
