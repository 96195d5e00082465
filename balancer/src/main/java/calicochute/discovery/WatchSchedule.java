package calicochute.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when discovery is called: how long each call may wait, when another call starts beside an unanswered one,
 * when a call is abandoned and when the next one follows a failure. No other class decides these times. A state machine
 * without I/O, with the current time as an argument; all times are in microseconds, except for the wait that is sent
 * with a call.
 *
 * <p>The balancer has to know an update {@link #UPDATE_DEADLINE_MICROS} after discovery becomes reachable, whatever
 * happened to earlier calls; the same applies to updates that a watch misses because it stopped responding. So while
 * nothing responds, the next call starts within {@link #MAX_RETRY_MICROS} of the start of the last one, however that
 * ended. Discovery is one small service for all balancers, and it handles new watches one after another: the times are
 * random, spread as widely as the deadline allows, and no call that waits in discovery's queue is abandoned before its
 * turn.
 */
final class WatchSchedule {
    /**
     * Time within which an update has to be known, from when discovery becomes reachable or a watch stops responding.
     */
    static final long UPDATE_DEADLINE_MICROS = 6_000_000;

    /** The time of an action that is not due at any time. */
    static final long NEVER = Long.MAX_VALUE;
    /** Connect timeout of a connection to discovery. */
    static final long CONNECT_TIMEOUT_MICROS = 1_200_000;
    /**
     * Shortest wait of a call on an established watch. The wait is random so that balancers that received the same
     * update do not call again at the same time.
     */
    static final long MIN_WAIT_MS = 2400;
    /** Longest wait of a call on an established watch. */
    static final long MAX_WAIT_MS = 3200;
    /** How late a response may be on an established watch before another call starts beside it. */
    static final long RESPONSE_GRACE_MICROS = 700_000;
    /**
     * Wait of the first call of a watch, in milliseconds; short, because its response shows that the watch is
     * established.
     */
    static final long INITIAL_WAIT_MS = 300;
    /**
     * Shortest time between the starts of an unanswered call and the next one: longer than the wait in discovery's
     * queue.
     */
    static final long MIN_RETRY_MICROS = 3_600_000;
    /** Longest time between the starts of an unanswered call and the next one. */
    static final long MAX_RETRY_MICROS = 4_400_000;
    /**
     * Shortest such time after the first call that follows a move or the silence of a watch: a second unanswered call
     * must leave time for a third one.
     */
    static final long MIN_EARLY_RETRY_MICROS = 1_220_000;
    /** Longest such time after the first call that follows a move or the silence of a watch. */
    static final long MAX_EARLY_RETRY_MICROS = 1_350_000;
    /**
     * Shortest such time after the second call that follows a move, whose updates have to be known sooner: the third
     * call starts beside two that may be waiting in discovery's queue.
     */
    static final long MIN_SECOND_RETRY_MICROS = 900_000;
    /** Longest such time after the second call that follows a move. */
    static final long MAX_SECOND_RETRY_MICROS = 1_000_000;
    /** Spread of the starts of watches after a move to another address. */
    static final long MOVE_SPREAD_MICROS = 1_200_000;
    /**
     * Wait of the first call of a process where calls cost nothing, in milliseconds: it only asks what discovery has.
     */
    static final long IMMEDIATE_WAIT_MS = 1;
    /** Spread of the starts of watches after a reload. */
    static final long START_SPREAD_MICROS = 150_000;
    /** Minimum pause after a failed call, and after a response that arrived immediately and reported no change. */
    static final long MIN_PAUSE_MICROS = 100_000;
    /** Longest pause after the first failure; doubled by each further failure, up to the longest pause. */
    static final long MAX_FIRST_PAUSE_MICROS = 2_500_000;

    /** Number of calls in progress at a time. */
    private static final int MAX_PENDING_CALLS = 2;
    /** The same while the third call after a move is due. */
    private static final int MAX_PENDING_CALLS_AFTER_MOVE = 3;
    /** How often the pause is doubled. */
    private static final int MAX_DOUBLINGS = 5;

    private final SplittableRandom random;
    private long maxPauseMicros;
    /** Calls in progress, the oldest first. */
    private final List<Call> pendingCalls = new ArrayList<>();

    /** When the next call starts. */
    private long nextStartAt = NEVER;
    /** Consecutive failures, up to the maximum number of doublings. */
    private int failures;
    /** Consecutive calls that were not answered in time. */
    private int unansweredCalls;
    /** The last call was answered, so the next one continues its watch. */
    private boolean continuesWatch;
    /** How many of the next calls use the early retry times. */
    private int earlyRetries;

    /** Wait of the next call that does not continue a watch, in milliseconds. */
    private long initialWaitMs = INITIAL_WAIT_MS;

    /** The address changed and no call was answered since. */
    private boolean afterMove;
    /** The next call starts beside two calls that may still be waiting in discovery's queue. */
    private boolean thirdCallNext;

    /** A call in progress; {@code waitMs} is how long discovery may delay its response, in milliseconds. */
    static final class Call {
        final long waitMs;
        final long startedAt;
        private boolean connected;
        private boolean responseReceived;

        Call(long waitMs, long startedAt, boolean connected) {
            this.waitMs = waitMs;
            this.startedAt = startedAt;
            this.connected = connected;
        }

        /** Records that the connection of the call was established. */
        void connected() {
            connected = true;
        }

        boolean isConnected() {
            return connected;
        }

        /**
         * Records that the response was received and is being parsed, which may take seconds: until then the call is
         * not abandoned and no other call starts.
         */
        void responseReceived() {
            responseReceived = true;
        }
    }

    enum Kind {
        START,
        ABANDON
    }

    /** What has to be done: start a call, on a new connection unless the call is connected, or abandon one. */
    record Action(Kind kind, Call call) {}

    /**
     * Creates an inactive schedule; {@code maxPauseMicros} limits the pauses after failures, except for their minimum.
     */
    WatchSchedule(long seed, long maxPauseMicros) {
        random = new SplittableRandom(seed);
        this.maxPauseMicros = Math.min(maxPauseMicros, MAX_RETRY_MICROS);
    }

    /** Changes the longest pause after failures; a pause that has begun is shortened if necessary. */
    void setMaxPause(long newMaxPauseMicros, long now) {
        boolean shorter = Math.min(newMaxPauseMicros, MAX_RETRY_MICROS) < maxPauseMicros;
        maxPauseMicros = Math.min(newMaxPauseMicros, MAX_RETRY_MICROS);
        if (shorter && failures > 0 && pendingCalls.isEmpty()) {
            nextStartAt = Math.min(
                    nextStartAt,
                    now + random.nextLong(MIN_PAUSE_MICROS, Math.max(MIN_PAUSE_MICROS, maxPauseMicros) + 1));
        }
    }

    /** Whether a watch was started and not stopped. */
    boolean isActive() {
        return nextStartAt != NEVER;
    }

    /** Whether discovery counts as unavailable: a call has failed, or two in a row were not answered in time. */
    boolean isUnavailable() {
        return failures > 0 || unansweredCalls > 1;
    }

    /** When {@link #nextAction} has to be called again. */
    long nextActionAt() {
        return pendingCalls.stream()
                .filter(call -> !call.connected)
                .mapToLong(call -> call.startedAt + CONNECT_TIMEOUT_MICROS)
                .reduce(anyResponseReceived() ? NEVER : nextStartAt, Math::min);
    }

    private boolean anyResponseReceived() {
        return pendingCalls.stream().anyMatch(call -> call.responseReceived);
    }

    /** Starts the watch at a random time within the spread. */
    void start(long now, long spreadMicros) {
        stop();
        nextStartAt = now + random.nextLong(spreadMicros + 1);
    }

    /** Starts the watch at once, with a call that does not wait for changes. */
    void startAtOnce(long now) {
        start(now, 0);
        initialWaitMs = IMMEDIATE_WAIT_MS;
    }

    /**
     * Restarts the watch for another address; failures at the old one do not count. The start is spread because all
     * balancers are moved at the same moment.
     */
    void move(long now) {
        start(now, MOVE_SPREAD_MICROS);
        earlyRetries = 2;
        afterMove = true;
    }

    /** Stops the watch. */
    void stop() {
        pendingCalls.clear();
        nextStartAt = NEVER;
        failures = 0;
        unansweredCalls = 0;
        continuesWatch = false;
        earlyRetries = 0;
        initialWaitMs = INITIAL_WAIT_MS;
        afterMove = false;
        thirdCallNext = false;
    }

    /**
     * The next action, or null if none is due; call until it returns null. {@code connectionOpen}: the connection of
     * the last response is still open.
     */
    Action nextAction(long now, boolean connectionOpen) {
        for (Call call : pendingCalls) {
            if (!call.connected && now >= call.startedAt + CONNECT_TIMEOUT_MICROS) {
                failed(call, now);
                return new Action(Kind.ABANDON, call);
            }
        }
        if (now < nextStartAt || anyResponseReceived()) {
            return null;
        }
        if (pendingCalls.size() >= (thirdCallNext ? MAX_PENDING_CALLS_AFTER_MOVE : MAX_PENDING_CALLS)) {
            return new Action(Kind.ABANDON, pendingCalls.remove(0));
        }
        // The unanswered call keeps its place in discovery's queue and may still be answered. After a move, two
        // such calls do not count as unanswered yet.
        unansweredCalls += thirdCallNext ? 0 : pendingCalls.size();
        Call call = continuesWatch
                ? new Call(random.nextLong(MIN_WAIT_MS, MAX_WAIT_MS + 1), now, connectionOpen)
                : new Call(initialWaitMs, now, false);
        initialWaitMs = INITIAL_WAIT_MS;
        thirdCallNext = afterMove && earlyRetries == 1;
        nextStartAt = now
                + (continuesWatch
                        ? call.waitMs * 1000 + RESPONSE_GRACE_MICROS
                        : thirdCallNext
                                ? random.nextLong(MIN_SECOND_RETRY_MICROS, MAX_SECOND_RETRY_MICROS + 1)
                                : earlyRetries > 0
                                        ? random.nextLong(MIN_EARLY_RETRY_MICROS, MAX_EARLY_RETRY_MICROS + 1)
                                        : random.nextLong(MIN_RETRY_MICROS, MAX_RETRY_MICROS + 1));
        earlyRetries = Math.max(0, continuesWatch ? earlyRetries : earlyRetries - 1);
        continuesWatch = false;
        pendingCalls.add(call);
        return new Action(Kind.START, call);
    }

    /** Records a response: other calls are dropped, and the watch continues immediately. */
    void answered(Call call, boolean unchanged, long now) {
        stop();
        continuesWatch = true;
        earlyRetries = 1;
        // Without this pause, calls to a discovery service that does not wait would follow each other without end.
        boolean immediate = unchanged && now - call.startedAt < Math.min(MIN_PAUSE_MICROS, call.waitMs * 1000 / 2);
        nextStartAt = now + (immediate ? MIN_PAUSE_MICROS : 0);
    }

    /**
     * Records a failed call. If no other call is in progress, the next one follows after a random pause that grows with
     * each failure, but no later than after an unanswered call.
     */
    void failed(Call call, long now) {
        if (!pendingCalls.remove(call)) {
            return;
        }
        if (call.responseReceived) {
            // Parsing may have taken longer than the time to the next call.
            nextStartAt = Math.max(nextStartAt, now + MIN_PAUSE_MICROS);
        }
        if (pendingCalls.isEmpty()) {
            long maxPause = Math.max(MIN_PAUSE_MICROS, Math.min(maxPauseMicros, MAX_FIRST_PAUSE_MICROS << failures));
            long minPause = failures == 0 ? MIN_PAUSE_MICROS : Math.max(MIN_PAUSE_MICROS, maxPause / 2);
            nextStartAt = Math.max(
                    now + MIN_PAUSE_MICROS, Math.min(now + random.nextLong(minPause, maxPause + 1), nextStartAt));
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
            // The early retries after a move remain: no failure may delay its third call.
            earlyRetries = afterMove ? earlyRetries : 0;
        }
    }
}
