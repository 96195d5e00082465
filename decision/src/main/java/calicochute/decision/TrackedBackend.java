package calicochute.decision;

import calicochute.decision.Balancer.Backend;
import java.util.SplittableRandom;

/** State of one backend. Holds data and makes no decisions. */
final class TrackedBackend {
    final String id;
    /** Position in the ring from which instances take their subsets: a hash of the id, the same at all instances. */
    final long ringPosition;

    Backend entry;
    boolean listed;
    /** When it last started, by the time of events. */
    long startedAt;
    /** A request has been sent to it since it last started. */
    boolean called;

    /** Relative to the class's typical latency; 1 is typical. */
    double speed = 1;

    long sampledAt;
    /** Effective number of samples in the speed, older ones counting less. */
    double samples;
    /** Ends of the list of pending attempts. */
    Attempt oldest;

    Attempt newest;

    int pending;
    /** Most attempts pending at once since its idle connections were last closed. */
    int maxPending;
    /** Requests that may be sent to it while it is cold. */
    double allowance;

    long allowanceAt;
    /** Scratch value of one selection: first the effective speed, then the softmax weight. */
    double score;

    TrackedBackend(String id) {
        this.id = id;
        ringPosition = new SplittableRandom(id.hashCode()).nextLong();
    }

    /** Relative size: its weight in the list, or 1 if that is not positive. */
    double size() {
        return entry.weight() > 0 ? Math.max(1e-3, Math.min(1e3, entry.weight())) : 1;
    }

    /** Discards the state of earlier starts; {@code age} is the time since the start. */
    void restarted(long now, long age, double expectedSpeed, double initialAllowance) {
        startedAt = now - age;
        called = false;
        samples = 0;
        speed = expectedSpeed;
        sampledAt = now;
        allowance = initialAllowance;
        allowanceAt = now;
    }
}
