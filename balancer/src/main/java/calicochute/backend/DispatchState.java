package calicochute.backend;

import calicochute.decision.Balancer.Outcome;

/**
 * The state of one dispatch during its execution: a state machine without I/O, with time as an argument (microseconds).
 * A dispatch waits for a connection, is called once a call has started on one, and ends once; events after its end
 * change nothing. Whether it may be sent is decided when a connection is ready, because that may be long after the
 * server was picked.
 */
final class DispatchState {
    /** What the caller has to do next. */
    enum Step {
        NONE,
        CALL,
        FIND_CONNECTION,
        END
    }

    private enum Stage {
        WAITING,
        CALLED,
        RESPONDING,
        ENDED
    }

    private final long notAfter;
    private Stage stage = Stage.WAITING;
    private Outcome outcome;

    /** Creates the state of a dispatch that must not be sent from {@code notAfter} on. */
    DispatchState(long notAfter) {
        this.notAfter = notAfter;
    }

    boolean waiting() {
        return stage == Stage.WAITING;
    }

    boolean ended() {
        return stage == Stage.ENDED;
    }

    /** The outcome; null before the end. */
    Outcome outcome() {
        return outcome;
    }

    /**
     * Handles a connection that is ready for the call.
     *
     * @param awaitsResponse whether the session still wants a response: not if it has one or its client has gone
     * @param eligible whether the server is unchanged since it was picked and may be sent to
     * @param open whether the connection is still open
     * @param firstUse the connection has carried no call: if it was closed, the server will accept no other one either
     */
    Step connectionReady(long now, boolean awaitsResponse, boolean eligible, boolean open, boolean firstUse) {
        if (stage != Stage.WAITING) {
            return Step.NONE;
        }
        if (!awaitsResponse || !eligible || now >= notAfter) {
            return end(Outcome.MOOT);
        }
        if (!open) {
            return firstUse ? end(Outcome.CONNECT_FAILED) : Step.FIND_CONNECTION;
        }
        stage = Stage.CALLED;
        return Step.CALL;
    }

    /** Handles that no connection could be established. */
    Step connectFailed() {
        return stage == Stage.WAITING ? end(Outcome.CONNECT_FAILED) : Step.NONE;
    }

    /**
     * Handles the start of a streamed response: from here on no timeout ends the dispatch and no other call is made for
     * it.
     */
    Step responseStarted() {
        if (stage == Stage.CALLED) {
            stage = Stage.RESPONDING;
        }
        return Step.NONE;
    }

    Step timedOut() {
        return switch (stage) {
            case WAITING -> end(Outcome.CONNECT_FAILED);
            case CALLED -> end(Outcome.TIMED_OUT);
            case RESPONDING, ENDED -> Step.NONE;
        };
    }

    /**
     * Handles the end of the session: a waiting dispatch is never sent, and one whose request body can not be completed
     * ({@code bodyAborted}) is cancelled.
     */
    Step sessionEnded(boolean bodyAborted) {
        return stage == Stage.WAITING ? end(Outcome.MOOT) : bodyAborted ? cancelled() : Step.NONE;
    }

    Step cancelled() {
        return stage == Stage.ENDED ? Step.NONE : end(Outcome.CANCELLED);
    }

    /** Handles a body that stalls: this side aborts the call. */
    Step abort(Outcome newOutcome) {
        return stage == Stage.ENDED ? Step.NONE : end(newOutcome);
    }

    /**
     * Handles the end of the call; {@code nothingSent}: the connection was closed before a byte of the request was
     * written.
     */
    Step callEnded(Outcome newOutcome, boolean nothingSent) {
        if (stage == Stage.CALLED && nothingSent) {
            stage = Stage.WAITING;
            return Step.FIND_CONNECTION;
        }
        return stage == Stage.CALLED || stage == Stage.RESPONDING ? end(newOutcome) : Step.NONE;
    }

    private Step end(Outcome newOutcome) {
        stage = Stage.ENDED;
        outcome = newOutcome;
        return Step.END;
    }
}
