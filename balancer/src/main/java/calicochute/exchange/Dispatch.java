package calicochute.exchange;

import calicochute.decision.Balancer.Outcome;

/** One attempt at a session on one backend server. */
public final class Dispatch {
    public final Exchange exchange;
    public final int number;
    public final String server;
    public final long sentAt;
    /** It must not be sent from then on: what the rules allow now they may not once a connection has come up. */
    public final long notAfter;

    private Outcome outcome;

    Dispatch(Exchange exchange, int number, String server, long sentAt, long notAfter) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.notAfter = notAfter;
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
