package calicochute.presence;

import java.util.function.LongSupplier;

/**
 * Whether this process wants clients: one immutable state for the operators' calls and for SIGTERM, without I/O and
 * with time as an argument (microseconds).
 *
 * <p>Serving: nothing special. Leaving: {@code /ready} says no, answers are the last on their connections, and what the
 * front still sends is served. Away: as before, and the clients' idle connections are ended; a new one is served and
 * ended. Ending: SIGTERM came, and there is no way back. Ended: nothing more is accepted.
 *
 * @param state as told last; {@link #at} says what time has made of it
 * @param since when that was
 * @param accompanied another process of this balancer serves beside this one: clients go there at once, and
 *     {@code /ready} goes on saying yes, since the balancer as a whole serves
 */
public record Presence(State state, long since, boolean accompanied) {
    /** The front asks every 0.1 s and sends for 0.2 s more; the rest is for its lateness. */
    private static final long LEAVE = 600_000;
    /** At a planned restart new connections keep coming for 0.4 s. */
    private static final long END = 550_000;
    /** So long kept connections may end with an answer before the idle ones are ended. */
    private static final long HAND_OVER = 1_000_000;
    /** SIGKILL follows SIGTERM after the longest deadline, taken for this where it is longer, and so much more. */
    private static final long LONGEST = 3_000_000;

    private static final long MORE = 700_000;
    /** A process beside one that starts was seen to stand still for a second; and an answer has to be written. */
    private static final long STOP_MARGIN = 1_000_000;

    public enum State {
        SERVING,
        LEAVING,
        AWAY,
        ENDING,
        ENDED
    }

    public static Presence serving() {
        return new Presence(State.SERVING, 0, false);
    }

    /** Sends clients away; said again it changes nothing. */
    public Presence quiesce(long now) {
        return state == State.SERVING ? new Presence(State.LEAVING, now, false) : this;
    }

    /** Back to work, from whatever {@link #quiesce} led to; an end that has begun is not undone. */
    public Presence resume() {
        return state == State.ENDING ? this : serving();
    }

    /** SIGTERM. */
    public Presence end(long now, boolean other) {
        return state == State.ENDING ? this : new Presence(State.ENDING, now, other);
    }

    public State at(long now) {
        return switch (state) {
            case LEAVING -> now - since >= LEAVE ? State.AWAY : State.LEAVING;
            case ENDING -> now - since >= END ? State.ENDED : State.ENDING;
            default -> state;
        };
    }

    /** What {@code /ready} says, as far as it depends on this. */
    public boolean ready() {
        return state == State.SERVING || state == State.ENDING && accompanied;
    }

    /** Each answer is the last on its connection. */
    public boolean lastAnswers() {
        return state != State.SERVING;
    }

    /** Clients' idle connections are ended. */
    public boolean endsIdle(long now) {
        return accompanied ? now - since >= HAND_OVER : at(now) == State.AWAY || at(now) == State.ENDED;
    }

    /**
     * When all that was taken must have its answer: the platform ends the process soon after. Far away unless SIGTERM
     * came.
     */
    public long answersBy(LongSupplier longestDeadline) {
        return state == State.ENDING
                ? since + MORE + Math.max(0, Math.min(longestDeadline.getAsLong(), LONGEST) - STOP_MARGIN)
                : Long.MAX_VALUE;
    }

    /** New connections are taken in. */
    public boolean accepts(long now) {
        return !accompanied && at(now) != State.ENDED;
    }
}
