package calicochute.decision;

import calicochute.decision.Balancer.Backend;

/** What is kept of one backend. Data, no decisions. */
final class Server {
    final String id;
    /** Place in the order from which an instance takes its subset. */
    final long rank;
    Backend entry;
    boolean listed;
    /** A first call has been sent since its present start. */
    boolean polled;
    double speed = 1;
    long sampledAt;
    /** Attempts out, oldest first. */
    Attempt oldest, newest;
    int out;
    /** Most attempts out at once since its idle connections were last closed. */
    int peak;
    /** Sends to it that are saved up while it is cold. */
    double allowance;
    long allowanceAt;
    /** Scratch of one pick: effective speed, then weight. */
    double score;

    Server(String id, long rank) {
        this.id = id;
        this.rank = rank;
    }
}
