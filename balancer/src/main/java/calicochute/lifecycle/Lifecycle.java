package calicochute.lifecycle;

import java.util.function.LongSupplier;

/**
 * Whether this process takes clients. An immutable state machine for quiesce, resume and SIGTERM, without I/O; times
 * are arguments, in microseconds.
 *
 * @param state as of the last event; {@link #stateAt} adds the transitions that only take time
 * @param since when {@code state} was entered
 * @param otherProcessServing another process of this balancer serves beside this one as it stops. New clients go to the
 *     other one at once, and {@code /ready} goes on answering 200, since the balancer as a whole serves
 */
public record Lifecycle(State state, long since, boolean otherProcessServing) {
    /**
     * How long clients may go on sending after {@code /ready} has failed: the platform's front end polls every 0.1 s
     * and sends for another 0.2 s, and the rest allows for its delays.
     */
    private static final long QUIESCE_MICROS = 600_000;
    /** How long new connections are accepted after SIGTERM: at a planned restart they keep coming for 0.4 s. */
    private static final long STOP_MICROS = 550_000;
    /**
     * How long kept-alive connections may end with a response before the idle ones are closed, where another process
     * serves.
     */
    private static final long HANDOVER_MICROS = 1_000_000;
    /**
     * Cap on the longest deadline in the platform's grace period: SIGKILL follows SIGTERM after the longest deadline,
     * at most this, plus {@link #KILL_DELAY_MICROS}.
     */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;

    private static final long KILL_DELAY_MICROS = 700_000;
    /**
     * Subtracted from the grace period: the process may be held up for 0.15 s, and the response still has to be
     * written.
     */
    private static final long STOP_MARGIN_MICROS = 500_000;

    /** What the process does for clients. */
    public enum State {
        /** Takes clients. */
        SERVING,
        /**
         * An operator sends clients away: {@code /ready} fails and each response is the last on its connection. What
         * still arrives is served.
         */
        QUIESCING,
        /** As {@link #QUIESCING}, and idle client connections are closed; a new one is served once and closed. */
        QUIESCED,
        /** SIGTERM has arrived; this can't be undone. */
        STOPPING,
        /** No more connections are accepted. */
        STOPPED
    }

    /** The state at the start of the process. */
    public static Lifecycle serving() {
        return new Lifecycle(State.SERVING, 0, false);
    }

    /** Starts to send clients away; does nothing unless the process serves. */
    public Lifecycle quiesce(long now) {
        return state == State.SERVING ? new Lifecycle(State.QUIESCING, now, false) : this;
    }

    /** Undoes {@link #quiesce} at any stage; does nothing once the process is stopping. */
    public Lifecycle resume() {
        return state == State.STOPPING ? this : serving();
    }

    /** Handles SIGTERM. */
    public Lifecycle stop(long now, boolean otherProcessServing) {
        return state == State.STOPPING ? this : new Lifecycle(State.STOPPING, now, otherProcessServing);
    }

    /** The state at the given time. */
    public State stateAt(long now) {
        return switch (state) {
            case QUIESCING -> now - since >= QUIESCE_MICROS ? State.QUIESCED : State.QUIESCING;
            case STOPPING -> now - since >= STOP_MICROS ? State.STOPPED : State.STOPPING;
            default -> state;
        };
    }

    /** Whether {@code /ready} may answer 200; it depends on other conditions too. */
    public boolean ready() {
        return state == State.SERVING || state == State.STOPPING && otherProcessServing;
    }

    /** Whether each response is the last on its connection. */
    public boolean closesAfterResponse() {
        return state != State.SERVING;
    }

    /** Whether idle client connections are closed. */
    public boolean closesIdleConnections(long now) {
        return otherProcessServing
                ? now - since >= HANDOVER_MICROS
                : stateAt(now) == State.QUIESCED || stateAt(now) == State.STOPPED;
    }

    /**
     * The time by which each session taken must have its response, because the platform kills the process soon after.
     * {@link Long#MAX_VALUE} unless the process is stopping.
     *
     * @param longestDeadlineMicros the longest deadline of any request class
     */
    public long responseDeadline(LongSupplier longestDeadlineMicros) {
        return state == State.STOPPING
                ? since
                        + KILL_DELAY_MICROS
                        + Math.max(
                                0,
                                Math.min(longestDeadlineMicros.getAsLong(), MAX_DEADLINE_MICROS) - STOP_MARGIN_MICROS)
                : Long.MAX_VALUE;
    }

    /** Whether new connections are accepted. */
    public boolean acceptsConnections(long now) {
        return !otherProcessServing && stateAt(now) != State.STOPPED;
    }
}
