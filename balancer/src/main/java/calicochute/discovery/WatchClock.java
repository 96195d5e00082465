package calicochute.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when discovery is called: how long each call waits, when another goes out beside one that is silent, when a
 * call is given up and when the next follows a failure. The only owner of those times. Without I/O; time comes as an
 * argument, in microseconds but for what goes into a call.
 *
 * <p>What discovery has to tell counts as told {@link #TOLD} after it can be reached, whatever became of the calls
 * before, and so does what a watch misses that falls silent. So while nothing answers, the next call begins within
 * {@link #LONGEST} of the last one's beginning, however that ended. Discovery is one small service for all balancers:
 * the times are drawn, spread as widely as this leaves room for, and nobody leaves the line before its turn.
 */
final class WatchClock {
    /** From when discovery can be reached, or a watch's silence, until what there is to tell counts as told. */
    static final long TOLD = 6_000_000;

    static final long NEVER = Long.MAX_VALUE;
    /** A connection to discovery comes up within this, or it never does. */
    static final long CONNECT = 1_200_000;
    /**
     * Calls on a watch that has answered wait between these: drawn, lest balancers told of one change call again at
     * once.
     */
    static final long LEAST_WAIT_MS = 2400, MOST_WAIT_MS = 3200;
    /** How late an answer may be on a watch that has answered, before another call goes out beside it. */
    static final long LATE = 700_000;
    /** A new watch waits for little: an answer says that it stands. */
    static final long OPENING_WAIT_MS = 300;
    /** Between the beginnings of calls that find no answer. The least outlasts a turn in discovery's line. */
    static final long PATIENCE = 3_600_000, LONGEST = 4_400_000;
    /**
     * The same for the first call after a watch's silence or a move: there a second one that is silent has to be made
     * good.
     */
    static final long SOON = 1_220_000, SOON_AT_MOST = 1_350_000;
    /**
     * And for the second after a move, whose news counts as told sooner: the third goes out beside two that may wait in
     * line.
     */
    static final long AGAIN = 900_000, AGAIN_AT_MOST = 1_000_000;
    /** A watch that moves begins within this; one that nobody asked for by a time of their own within that. */
    static final long MOVE_WITHIN = 1_200_000, BEGIN_WITHIN = 150_000;
    /** Between a failed call and the next at the least, and after an answer that came at once and told nothing. */
    static final long LEAST_PAUSE = 100_000;
    /** After a first failure at most; doubled by each further one up to the longest. */
    static final long FIRST_PAUSE = 2_500_000;

    private static final int MOST_OUT = 2, MOST_OUT_AFTER_MOVE = 3, MOST_DOUBLINGS = 5;
    private final SplittableRandom random;
    private long longestPause;
    /** The older first. */
    private final List<Call> out = new ArrayList<>();

    private long next = NEVER;
    private int failures;
    private int silences;
    /** The last call has answered, so the next goes on with its watch. */
    private boolean follows;
    /** So many more calls have company soon. */
    private int soon;

    private boolean moved;
    /** The next goes out beside two that are not past their turn. */
    private boolean third;

    /** One call that is out; {@code waitMs} is how long discovery may hold it back, in milliseconds. */
    static final class Call {
        final long waitMs;
        final long begunAt;
        private boolean connected;
        private boolean here;

        Call(long waitMs, long begunAt, boolean connected) {
            this.waitMs = waitMs;
            this.begunAt = begunAt;
            this.connected = connected;
        }

        /** Its connection has come up. */
        void connected() {
            connected = true;
        }

        boolean isConnected() {
            return connected;
        }

        /**
         * Its answer is here and is being read, which may take seconds: neither it nor another one is asked for
         * meanwhile.
         */
        void here() {
            here = true;
        }
    }

    enum Kind {
        BEGIN,
        GIVE_UP
    }

    /** What is to be done: a call to begin, on a new connection unless it is connected, or one to give up. */
    record Act(Kind kind, Call call) {}

    /** @param longestPause no pause after failures is longer, unless it is the least */
    WatchClock(long seed, long longestPause) {
        random = new SplittableRandom(seed);
        this.longestPause = Math.min(longestPause, LONGEST);
    }

    /** New settings: no pause is longer from now on, nor is one that has begun. */
    void retune(long longest, long now) {
        boolean shorter = Math.min(longest, LONGEST) < longestPause;
        longestPause = Math.min(longest, LONGEST);
        if (shorter && failures > 0 && out.isEmpty()) {
            next = Math.min(next, now + random.nextLong(LEAST_PAUSE, Math.max(LEAST_PAUSE, longestPause) + 1));
        }
    }

    boolean active() {
        return next != NEVER;
    }

    /** Neither an answer nor a call that may still have one in time: a call has failed, or two in a row were silent. */
    boolean lost() {
        return failures > 0 || silences > 1;
    }

    /** When to look again for what is to be done. */
    long due() {
        return out.stream()
                .filter(c -> !c.connected)
                .mapToLong(c -> c.begunAt + CONNECT)
                .reduce(anyHere() ? NEVER : next, Math::min);
    }

    private boolean anyHere() {
        return out.stream().anyMatch(c -> c.here);
    }

    /** The watch begins within a time. */
    void begin(long now, long within) {
        end();
        next = now + random.nextLong(within + 1);
    }

    /** Everybody is told to move at one moment. Failures at the old address no longer count. */
    void move(long now) {
        begin(now, MOVE_WITHIN);
        soon = 2;
        moved = true;
    }

    void end() {
        out.clear();
        next = NEVER;
        failures = 0;
        silences = 0;
        follows = false;
        soon = 0;
        moved = false;
        third = false;
    }

    /**
     * The next thing to do, or null; to be asked until it is null. {@code open}: the last answer's connection still
     * stands.
     */
    Act act(long now, boolean open) {
        for (Call c : out) {
            if (!c.connected && now >= c.begunAt + CONNECT) {
                failed(c, now);
                return new Act(Kind.GIVE_UP, c);
            }
        }
        if (now < next || anyHere()) {
            return null;
        }
        if (out.size() >= (third ? MOST_OUT_AFTER_MOVE : MOST_OUT)) {
            return new Act(Kind.GIVE_UP, out.remove(0));
        }
        // The silent one stays in line: it may have its turn yet. Two that may are no loss yet.
        silences += third ? 0 : out.size();
        Call call = follows
                ? new Call(random.nextLong(LEAST_WAIT_MS, MOST_WAIT_MS + 1), now, open)
                : new Call(OPENING_WAIT_MS, now, false);
        third = moved && soon == 1;
        next = now
                + (follows
                        ? call.waitMs * 1000 + LATE
                        : third
                                ? random.nextLong(AGAIN, AGAIN_AT_MOST + 1)
                                : soon > 0
                                        ? random.nextLong(SOON, SOON_AT_MOST + 1)
                                        : random.nextLong(PATIENCE, LONGEST + 1));
        soon = Math.max(0, follows ? soon : soon - 1);
        follows = false;
        out.add(call);
        return new Act(Kind.BEGIN, call);
    }

    /** Discovery has answered: any other call is dropped, and the watch goes on at once. */
    void answered(Call call, boolean toldNothing, long now) {
        end();
        follows = true;
        soon = 1;
        // Guards against a discovery that does not wait: the calls would follow each other without an end.
        boolean atOnce = toldNothing && now - call.begunAt < Math.min(LEAST_PAUSE, call.waitMs * 1000 / 2);
        next = now + (atOnce ? LEAST_PAUSE : 0);
    }

    /**
     * A call has failed. Where none is left the next is spread and backs off, but comes no later than after silence.
     */
    void failed(Call call, long now) {
        if (!out.remove(call)) {
            return;
        }
        if (call.here) {
            // Reading it may have outlasted the time of the next.
            next = Math.max(next, now + LEAST_PAUSE);
        }
        if (out.isEmpty()) {
            long most = Math.max(LEAST_PAUSE, Math.min(longestPause, FIRST_PAUSE << failures));
            long least = failures == 0 ? LEAST_PAUSE : Math.max(LEAST_PAUSE, most / 2);
            next = Math.max(now + LEAST_PAUSE, Math.min(now + random.nextLong(least, most + 1), next));
            failures = Math.min(failures + 1, MOST_DOUBLINGS);
            // A move's times stay: no failure may make its third call late.
            soon = moved ? soon : 0;
        }
    }
}
