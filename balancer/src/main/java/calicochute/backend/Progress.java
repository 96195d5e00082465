package calicochute.backend;

import calicochute.decision.Balancer.Outcome;

/**
 * How far one request is on its way to a server: a state machine without I/O, with time passed in (microseconds). It
 * waits for a connection, is out once a call has begun on one, and ends once; what comes after its end changes nothing.
 * Whether it may be sent is decided when it is: a connection may come up long after the server was picked.
 */
final class Progress {
    /** What is to be done now. */
    enum Step {
        NOTHING,
        CALL,
        FIND_CONNECTION,
        END
    }

    private enum Stage {
        WAITING,
        OUT,
        BEGUN,
        ENDED
    }

    private final long notAfter;
    private Stage stage = Stage.WAITING;
    private Outcome outcome;

    /** @param notAfter from then on it is not sent any more */
    Progress(long notAfter) {
        this.notAfter = notAfter;
    }

    boolean waiting() {
        return stage == Stage.WAITING;
    }

    boolean ended() {
        return stage == Stage.ENDED;
    }

    /** How it ended; null before. */
    Outcome outcome() {
        return outcome;
    }

    /**
     * A connection for it has come up or has rested.
     *
     * @param owed whether the session still wants an answer: not once it has one, or its client has gone
     * @param in whether its server still is what was picked, and may be sent to
     * @param open whether the connection still is
     * @param fresh it has served nothing yet: its end says that the server will have no other either
     */
    Step connected(long now, boolean owed, boolean in, boolean open, boolean fresh) {
        if (stage != Stage.WAITING) {
            return Step.NOTHING;
        }
        if (!owed || !in || now >= notAfter) {
            return end(Outcome.MOOT);
        }
        if (!open) {
            return fresh ? end(Outcome.CONNECT_FAILED) : Step.FIND_CONNECTION;
        }
        stage = Stage.OUT;
        return Step.CALL;
    }

    /** No connection can be had. */
    Step unconnected() {
        return stage == Stage.WAITING ? end(Outcome.CONNECT_FAILED) : Step.NOTHING;
    }

    /** Its answer has begun to be passed on: no time-out ends it from here on, and no other call is made for it. */
    Step begun() {
        if (stage == Stage.OUT) {
            stage = Stage.BEGUN;
        }
        return Step.NOTHING;
    }

    Step timedOut() {
        return switch (stage) {
            case WAITING -> end(Outcome.CONNECT_FAILED);
            case OUT -> end(Outcome.TIMED_OUT);
            case BEGUN, ENDED -> Step.NOTHING;
        };
    }

    /**
     * The session is over: what waits is never sent; nor can what was begun come to its last byte if
     * {@code unfinished}.
     */
    Step sessionOver(boolean unfinished) {
        return stage == Stage.WAITING ? end(Outcome.MOOT) : unfinished ? withdrawn() : Step.NOTHING;
    }

    Step withdrawn() {
        return stage == Stage.ENDED ? Step.NOTHING : end(Outcome.CANCELLED);
    }

    /** It has broken off on this side: a body that stands still. */
    Step cut(Outcome how) {
        return stage == Stage.ENDED ? Step.NOTHING : end(how);
    }

    /** @param nothingSent the connection had ended before a byte of it was written */
    Step replied(Outcome how, boolean nothingSent) {
        if (stage == Stage.OUT && nothingSent) {
            stage = Stage.WAITING;
            return Step.FIND_CONNECTION;
        }
        return stage == Stage.OUT || stage == Stage.BEGUN ? end(how) : Step.NOTHING;
    }

    private Step end(Outcome how) {
        stage = Stage.ENDED;
        outcome = how;
        return Step.END;
    }
}
