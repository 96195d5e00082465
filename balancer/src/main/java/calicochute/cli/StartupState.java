package calicochute.cli;

/**
 * What a planned stop has to do, whenever it comes: an immutable state without I/O. From its listening on a process may
 * hold requests, which is a moment before its start is over.
 *
 * <p>Guards against a stop that finds a process in its start: it would end with what it has taken unanswered, or drain
 * what is not there yet; and against a start that fails and ends with the status of a stop.
 *
 * @param stopping the virtual machine runs its hooks
 * @param failedFirst the start had failed before that: hooks run since the program ends by itself
 */
record StartupState(Phase phase, boolean stopping, boolean failedFirst) {
    enum Phase {
        STARTING,
        SERVING,
        FAILED
    }

    /** What the hook does next. */
    enum Step {
        /** Not called yet. */
        NOTHING,
        /** The start has yet to end, one way or the other. */
        WAIT,
        /** What was taken is answered; the status is that of a planned stop. */
        DRAIN,
        /** The start failed by itself: its status stands already. */
        LEAVE,
        /** The start failed while this waited for it: its status is still to be set. */
        FAIL
    }

    static StartupState begun() {
        return new StartupState(Phase.STARTING, false, false);
    }

    /** The start is over, and clients may come. */
    StartupState started() {
        return phase == Phase.STARTING ? new StartupState(Phase.SERVING, stopping, false) : this;
    }

    /** The start has failed. */
    StartupState failed() {
        return phase == Phase.STARTING ? new StartupState(Phase.FAILED, stopping, !stopping) : this;
    }

    /** The hook has begun to run. */
    StartupState stop() {
        return new StartupState(phase, true, failedFirst);
    }

    Step step() {
        if (!stopping) {
            return Step.NOTHING;
        }
        if (phase == Phase.FAILED) {
            return failedFirst ? Step.LEAVE : Step.FAIL;
        }
        return phase == Phase.STARTING ? Step.WAIT : Step.DRAIN;
    }
}
