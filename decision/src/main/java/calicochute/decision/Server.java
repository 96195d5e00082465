package calicochute.decision;

import calicochute.decision.Balancer.Backend;
import java.util.SplittableRandom;

/** What is kept of one backend. Data, no decisions. */
final class Server {
    final String id;
    /** Place in the ring from which instances take their subsets: a hash of the id, the same at all. */
    final long rank;

    Backend entry;
    boolean listed;
    /** A first call has been sent since its present start. */
    boolean polled;

    double speed = 1;
    long sampledAt;
    /** How many samples are in its speed, older ones counting less. */
    double samples;
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

    Server(String id) {
        this.id = id;
        rank = new SplittableRandom(id.hashCode()).nextLong();
    }

    /** What the list says of its size; 1 where that makes no sense. */
    double size() {
        return entry.weight() > 0 ? Math.max(1e-3, Math.min(1e3, entry.weight())) : 1;
    }

    /** It runs anew: nothing is known of it. */
    void started(long now, double usual, double allowed) {
        polled = false;
        samples = 0;
        speed = usual;
        sampledAt = now;
        allowance = allowed;
        allowanceAt = now;
    }
}
