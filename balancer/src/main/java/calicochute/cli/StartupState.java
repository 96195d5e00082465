package calicochute.cli;

/**
 * What the shutdown hook has to do, depending on how far the start has come. An immutable state machine without I/O. A
 * process may hold requests from the time that it listens, which is shortly before its start is complete.
 *
 * <p>Guards against a stop during the start, which would leave requests unanswered or drain parts that do not exist
 * yet, and against a failed start that exits with the status of a planned stop.
 *
 * @param stopping the virtual machine runs its shutdown hooks
 * @param failedFirst the start had failed before the hooks ran; they run because the program exits by itself
 */
record StartupState(Phase phase, boolean stopping, boolean failedFirst) {
    /** How far the start has come. */
    enum Phase {
        STARTING,
        SERVING,
        FAILED
    }

    /** What the shutdown hook does next. */
    enum Step {
        /** Nothing: no stop has been requested. */
        NONE,
        /** Wait until the start has succeeded or failed. */
        WAIT,
        /** Drain, and exit with the status of a planned stop. */
        DRAIN,
        /** Return: the start failed before the stop, so the process exits with the status of the failure. */
        RETURN,
        /** Exit with the status of a failure: the start failed while the hook waited for it. */
        FAIL
    }

    static StartupState starting() {
        return new StartupState(Phase.STARTING, false, false);
    }

    /** The start has succeeded. */
    StartupState started() {
        return phase == Phase.STARTING ? new StartupState(Phase.SERVING, stopping, false) : this;
    }

    /** The start has failed. */
    StartupState failed() {
        return phase == Phase.STARTING ? new StartupState(Phase.FAILED, stopping, !stopping) : this;
    }

    /** The shutdown hook has begun to run. */
    StartupState stop() {
        return new StartupState(phase, true, failedFirst);
    }

    Step step() {
        if (!stopping) {
            return Step.NONE;
        }
        if (phase == Phase.FAILED) {
            return failedFirst ? Step.RETURN : Step.FAIL;
        }
        return phase == Phase.STARTING ? Step.WAIT : Step.DRAIN;
    }
}
