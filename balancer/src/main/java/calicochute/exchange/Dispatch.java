package calicochute.exchange;

import calicochute.decision.Balancer.Outcome;

/** One attempt at a session on one backend server. */
public final class Dispatch {
    public final Exchange exchange;
    public final int number;
    public final String server;
    public final long sentAt;
    private Outcome outcome;

    Dispatch(Exchange exchange, int number, String server, long sentAt) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
    }

    /** Notes how it ended; false if that was known already. */
    public boolean end(Outcome how) {
        if (outcome != null) {
            return false;
        }
        outcome = how;
        return true;
    }

    public boolean out() {
        return outcome == null;
    }

    /** It brought an answer, and the whole of it. */
    public boolean ok() {
        return outcome == Outcome.OK;
    }

    boolean mayHaveRun() {
        return outcome == null || !outcome.provesNotRun();
    }
}
