package calicochute.discovery;

import java.util.SplittableRandom;

/**
 * The times of a watch on the list: how long each call waits, when it counts as silent, and when the next one may follow.
 * Without I/O; time comes as an argument, all in microseconds but for what goes into a call.
 *
 * <p>A watch that has fallen silent is broken, and what it misses counts as told {@link #TOLD} after that. So even one that
 * falls silent at the moment a call goes out is found, and its successor asks, with 0.8 s to spare. Each wait that ends
 * with nothing costs a call at a service that is one for all balancers: the waits are no shorter than that takes, and drawn,
 * so that balancers told of one change at one moment do not call at one moment again.
 */
final class WatchClock {
    /** From a watch's silence until what it misses counts as told. */
    static final long TOLD = 6_000_000;
    /** A connection to discovery comes up within this, or it never does. */
    static final long CONNECT = 1_200_000;
    /** Calls on a watch that has answered wait between these. */
    static final long LEAST_WAIT_MS = 2800, MOST_WAIT_MS = 3600;
    /** How late an answer may be on a watch that has answered: the network, and others whose waits end just then. */
    static final long LATE = 1_100_000;
    /** A new watch stands in line with others: it waits for less and is awaited longer. */
    static final long OPENING_WAIT_MS = 2000, OPENING = 5_000_000;
    /** A silent watch is opened anew within this; one that moves within that. */
    static final long REOPEN_WITHIN = 150_000, MOVE_WITHIN = 500_000;
    /** Between a failed call and the next at the least, and after an answer that came at once and told nothing. */
    static final long LEAST_PAUSE = 100_000;
    private static final int MOST_DOUBLINGS = 5;
    private final SplittableRandom random;
    private final long longestPause;
    private int failures;
    private long notBefore = Long.MIN_VALUE;
    private boolean reopened;

    /**
     * One call.
     *
     * @param waitMs how long discovery may hold it back, in milliseconds
     * @param limit from its beginning, that of its connection included, until it counts as silent
     */
    record Call(long waitMs, long limit) { }

    /** @param longestPause no pause after failures is longer, unless it is the least */
    WatchClock(long seed, long longestPause) {
        random = new SplittableRandom(seed);
        this.longestPause = longestPause;
    }

    /** The next call; {@code opening} for the first on a connection. */
    Call call(boolean opening) {
        if (opening) {
            return new Call(OPENING_WAIT_MS, OPENING);
        }
        long wait = random.nextLong(LEAST_WAIT_MS, MOST_WAIT_MS + 1);
        return new Call(wait, wait * 1000 + LATE);
    }

    /** Discovery has answered: returns how long to wait with the next call of the watch. */
    long answered(boolean toldNothing, Call call, long took) {
        failures = 0;
        notBefore = Long.MIN_VALUE;
        reopened = false;
        // Guards against a discovery that does not wait: the calls would follow each other without an end.
        return toldNothing && took < Math.min(LEAST_PAUSE, call.waitMs * 1000 / 2) ? LEAST_PAUSE : 0;
    }

    /**
     * The watch has fallen silent: returns how long to wait with opening it anew, or a negative number if that was done
     * already since the last answer. Then discovery or the way to it is down, and calls back off.
     */
    long silent() {
        if (reopened) {
            return -1;
        }
        reopened = true;
        return random.nextLong(REOPEN_WITHIN + 1);
    }

    /** A call has failed for good: calls are spread and back off, lest many balancers storm one small service. */
    void failed(long now) {
        reopened = false;
        long most = Math.min(longestPause, LEAST_PAUSE << ++failures);
        failures = Math.min(failures, MOST_DOUBLINGS);
        notBefore = now + Math.max(LEAST_PAUSE, random.nextLong(Math.max(1, most) + 1));
    }

    /** How long a new watch has to wait for failures before it. */
    long pause(long now) {
        return notBefore <= now ? 0 : notBefore - now;
    }

    /** The watch moves to another address: returns within what it begins there. Failures at the old one no longer count. */
    long moved() {
        failures = 0;
        notBefore = Long.MIN_VALUE;
        reopened = false;
        return random.nextLong(MOVE_WITHIN + 1);
    }

    /** The spread of a first watch that nobody asked for by a time of their own. */
    long begun() {
        return random.nextLong(REOPEN_WITHIN + 1);
    }
}
