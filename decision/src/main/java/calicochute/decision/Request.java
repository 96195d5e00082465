package calicochute.decision;

import java.util.Arrays;

/** A request and its attempts. Holds data and makes no decisions. */
final class Request {
    final long id;
    final int classIndex;
    long arrivedAt;
    long deadline;
    Attempt[] attempts = new Attempt[2];
    /** Attempts sent. */
    int sent;
    /** Attempts allowed by the settings under which the request arrived. */
    int maxAttempts;

    boolean ended;
    /** Experiment arm; 0 for any backend. */
    int arm;

    Request(long id, int classIndex, long arrivedAt, long deadline, int maxAttempts) {
        this.id = id;
        this.classIndex = classIndex;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.maxAttempts = maxAttempts;
    }

    Attempt send(TrackedBackend backend, long now) {
        if (sent == attempts.length) {
            attempts = Arrays.copyOf(attempts, sent * 2);
        }
        Attempt attempt = new Attempt(this, backend, sent, now);
        attempts[sent++] = attempt;
        attempt.older = backend.newest;
        if (attempt.older == null) {
            backend.oldest = attempt;
        } else {
            attempt.older.newer = attempt;
        }
        backend.newest = attempt;
        backend.pending++;
        backend.maxPending = Math.max(backend.maxPending, backend.pending);
        backend.called = true;
        return attempt;
    }

    /** Restarts all times: they count from when the client sent the body's last byte. */
    void bodyComplete(long sentAt) {
        long later = Math.max(0, sentAt - arrivedAt);
        deadline += later;
        arrivedAt += later;
        if (pending()) {
            newest().sentAt = Math.max(newest().sentAt, sentAt);
        }
    }

    /** Whether an attempt is pending. It can only be the newest, since attempts of a request never overlap. */
    boolean pending() {
        return sent > 0 && newest().pending;
    }

    Attempt newest() {
        return attempts[sent - 1];
    }

    boolean tried(TrackedBackend backend) {
        for (int i = 0; i < sent; i++) {
            if (attempts[i].backend == backend) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that is pending or may have taken effect; null if there is none. */
    Attempt firstThatMayHaveRun() {
        for (int i = 0; i < sent; i++) {
            if (attempts[i].mayHaveRun) {
                return attempts[i];
            }
        }
        return null;
    }
}
