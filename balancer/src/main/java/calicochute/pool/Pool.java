package calicochute.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The free connections to one backend server: a state machine without I/O, with time as an argument (microseconds).
 *
 * <p>A connection is free or lent. A free one <em>rests</em> first: {@code answerRest} after an answer, since what a
 * server sends behind an answer comes at once and ends the connection; {@code freshRest} after coming up, since a
 * server that will not have it resets it at once. A lent one belongs to one call, and comes back with {@link #give} or
 * not at all.
 *
 * <p>Of the rested ones the youngest is lent, so that those not needed grow old and are closed. Where none is rested,
 * the one that rests shortest is lent with the time still to wait; and since a session then had to wait, a spare is
 * wanted: a connection opened ahead, for nobody yet. Waiting rather than opening one for the session itself: a
 * handshake costs it more than what is left of a rest. Spares are bounded, one is opened at a time, and a server that
 * ended one gets none for a while.
 *
 * <p>A server that ends idle connections earlier than was told shows by that how long it keeps them: for a while none
 * is lent that has been free for two thirds of the shortest such time.
 *
 * @param <C> the connection
 */
public final class Pool<C> {
    /**
     * What one connection's fate counts in the share of those ended at once, and the share from which on none is kept.
     */
    private static final double EACH = 1.0 / 8, MOST_AT_ONCE = 0.5;

    private final Rules rules;
    private final Predicate<C> open;
    /** The youngest first. */
    private final ArrayDeque<Kept<C>> free = new ArrayDeque<>();
    /** Closed when they were to be lent; that they ended is heard of later. */
    private final List<Kept<C>> foundEnded = new ArrayList<>();

    private boolean spareWanted;
    private boolean spareOpening;
    private long noSparesUntil = Long.MIN_VALUE;
    private long cautiousUntil = Long.MIN_VALUE;
    /** Shortest idle time after which the server ended one lately, and until when that holds. */
    private long shortestIdle;

    private long learntUntil = Long.MIN_VALUE;
    /** Share of the free ones that it ended right behind an answer, and until when none is kept for that. */
    private double endedAtOnce;

    private long noneUntil = Long.MIN_VALUE;

    /**
     * @param freshRest rest of a connection that has come up, in microseconds
     * @param answerRest rest of a connection after an answer, in microseconds
     * @param mostFree with so many free ones no spare is wanted
     * @param spareBan for so long after a spare that failed none is opened, in microseconds
     * @param longRest rest after an answer of a server that sent something out of turn, in microseconds
     * @param caution how long that is remembered, in microseconds
     * @param atOnce an end within this of an answer comes with the answer and tells of no idle time, in microseconds
     * @param memory how long idle times are remembered, in microseconds
     */
    public record Rules(
            long freshRest,
            long answerRest,
            int mostFree,
            long spareBan,
            long longRest,
            long caution,
            long atOnce,
            long memory) {}

    /** A connection lent to a call that may begin in {@code rest} microseconds; it had been free for {@code idle}. */
    public record Lent<C>(C connection, long rest, long idle) {}

    /** What the end of a connection says. */
    public enum Ended {
        /** It was not free: its call hears of it. */
        NOT_HERE,
        /** The server ended one that it had served on. */
        KEPT,
        /** The server ended one that had never been used. */
        SPARE
    }

    private record Kept<C>(C connection, long since, long restedAt, boolean used) {}

    /** @param open whether a connection is open as far as this side knows; looked at before each use */
    public Pool(Rules rules, Predicate<C> open) {
        this.rules = rules;
        this.open = open;
    }

    /** Lends a connection; null if there is none to be had. */
    public Lent<C> take(long now) {
        Kept<C> soonest = null;
        for (Iterator<Kept<C>> i = free.iterator(); i.hasNext(); ) {
            Kept<C> kept = i.next();
            if (!open.test(kept.connection)) {
                // What its end says is said when it is heard of; only a spare's refusal counts at once, lest another
                // follows it.
                i.remove();
                foundEnded.add(kept);
                if (!kept.used) {
                    spareEnded(now);
                }
            } else if (kept.restedAt <= now) {
                i.remove();
                return lend(kept, 0, now);
            } else if (soonest == null || kept.restedAt < soonest.restedAt) {
                soonest = kept;
            }
        }
        if (soonest == null) {
            return null;
        }
        free.remove(soonest);
        spareWanted = true;
        return lend(soonest, soonest.restedAt - now, now);
    }

    private Lent<C> lend(Kept<C> kept, long rest, long now) {
        endedAtOnce -= endedAtOnce * EACH;
        return new Lent<>(kept.connection, rest, now - kept.since);
    }

    /**
     * The server ended one that had been free for so long, and that it had served on. From then on connections are kept
     * for less, so that no call is written to one that ends just then; where most end right behind an answer none is
     * kept for a while.
     */
    public void endedAfter(long idle, long now) {
        if (idle >= rules.atOnce) {
            shortestIdle = now < learntUntil ? Math.min(shortestIdle, idle) : idle;
            learntUntil = now + rules.memory;
            return;
        }
        endedAtOnce += (1 - endedAtOnce) * EACH;
        if (endedAtOnce > MOST_AT_ONCE) {
            endedAtOnce = 0;
            noneUntil = now + rules.memory;
        }
    }

    /** Those free since then or longer are not to be lent any more. */
    public long tooOld(long now) {
        return now < noneUntil ? Long.MAX_VALUE : now < learntUntil ? now - shortestIdle * 2 / 3 : Long.MIN_VALUE;
    }

    /** Whether connections are kept at all. */
    public boolean keeps(long now) {
        return now >= noneUntil;
    }

    /** A lent connection comes back after an answer. */
    public void give(C connection, long now) {
        long rest = now < cautiousUntil ? rules.longRest : rules.answerRest;
        free.addFirst(new Kept<>(connection, now, now + rest, true));
    }

    /** The server sent something that belongs to no call: what else it sends late must find its connection at rest. */
    public void outOfTurn(long now) {
        cautiousUntil = now + rules.caution;
    }

    /** Whether a connection should be opened ahead; if so it counts as being opened from now on. */
    public boolean claimSpare(long now) {
        boolean claimed = spareWanted && !spareOpening && now >= noSparesUntil && free.size() < rules.mostFree;
        spareWanted = false;
        spareOpening |= claimed;
        return claimed;
    }

    /** The connection opened ahead has come up. */
    public void spareOpened(C connection, long now) {
        spareOpening = false;
        add(connection, now);
    }

    /** A connection has come up that nobody waits for any more. */
    public void add(C connection, long now) {
        free.addFirst(new Kept<>(connection, now, now + rules.freshRest, false));
    }

    /** The connection opened ahead has not come up, or is not wanted any more. */
    public void spareFailed(long now) {
        spareOpening = false;
        spareEnded(now);
    }

    /** The server ended one before it was used: none is opened ahead for a while. */
    public void spareEnded(long now) {
        noSparesUntil = now + rules.spareBan;
    }

    /** A connection has ended; it is lent no more. {@code byServer}: not by this side, for what came on it. */
    public Ended ended(C connection, boolean byServer, long now) {
        Kept<C> kept = remove(free, connection);
        if (kept == null) {
            kept = remove(foundEnded, connection);
        }
        if (kept == null) {
            return Ended.NOT_HERE;
        }
        if (!kept.used) {
            spareEnded(now);
        } else if (byServer) {
            endedAfter(now - kept.since, now);
        }
        return kept.used ? Ended.KEPT : Ended.SPARE;
    }

    private static <C> Kept<C> remove(Collection<Kept<C>> from, C connection) {
        for (Iterator<Kept<C>> i = from.iterator(); i.hasNext(); ) {
            Kept<C> kept = i.next();
            if (kept.connection == connection) {
                i.remove();
                return kept;
            }
        }
        return null;
    }

    /** Takes out those that have been free since that time or longer, for the caller to close. */
    public List<C> takeIdleSince(long time) {
        List<C> old = new ArrayList<>();
        free.removeIf(kept -> kept.since <= time && old.add(kept.connection));
        return old;
    }

    public int free() {
        return free.size();
    }

    /** Since when the one that has been free longest is; {@link Long#MAX_VALUE} if none is. */
    public long idlestSince() {
        long since = Long.MAX_VALUE;
        for (Kept<C> kept : free) {
            since = Math.min(since, kept.since);
        }
        return since;
    }
}
