package calicochute.decision;

/** One sending of a request to a backend. Holds data and makes no decisions. */
final class Attempt {
    final Request request;
    final TrackedBackend backend;
    /**
     * The backend's list entry when the attempt was sent. A backend that has moved to another zone or cell since does
     * not remember the key there.
     */
    final Balancer.Backend sentTo;

    final int number;
    long sentAt;
    boolean pending = true;
    boolean mayHaveRun = true;
    /** Its answer has begun to stream to the client. */
    boolean streaming;
    /** Neighbours in the backend's list of pending attempts. */
    Attempt older;

    Attempt newer;

    Attempt(Request request, TrackedBackend backend, int number, long sentAt) {
        this.request = request;
        this.backend = backend;
        sentTo = backend.entry;
        this.number = number;
        this.sentAt = sentAt;
    }

    void end(boolean provesNotRun) {
        pending = false;
        mayHaveRun = !provesNotRun;
        backend.pending--;
        if (older == null) {
            backend.oldest = newer;
        } else {
            older.newer = newer;
        }
        if (newer == null) {
            backend.newest = older;
        } else {
            newer.older = older;
        }
    }
}
