package calicochute.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.pool.Pool.Ended;
import calicochute.pool.Pool.Lent;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PoolTest {
    private static final Pool.Rules RULES = new Pool.Rules(2, 5, 2, 20, 25, 100, 10, 500);

    /** A connection of the model: whether the server still holds it open. */
    private static final class Conn {
        boolean open = true;
    }

    private static Pool<Conn> pool() {
        return new Pool<>(RULES, c -> c.open);
    }

    @Test
    void aRestedConnectionGoesBeforeAYoungerOneThatRests() {
        Pool<Conn> pool = pool();
        Conn old = new Conn();
        Conn young = new Conn();
        pool.give(old, 0);
        pool.give(young, 6);
        assertEquals(new Lent<>(old, 0, 7), pool.take(7));
        assertEquals(new Lent<>(young, 4, 1), pool.take(7));
        assertNull(pool.take(7));
    }

    /** A copy of an answer came late once: the next one must find the connection at rest, not under the next call. */
    @Test
    void aServerThatSpokeOutOfTurnIsGivenTimeForAWhile() {
        Pool<Conn> pool = pool();
        Conn one = new Conn();
        pool.outOfTurn(0);
        pool.give(one, 10);
        assertEquals(new Lent<>(one, 20, 5), pool.take(15));
        pool.give(one, 100);
        assertEquals(new Lent<>(one, 0, 5), pool.take(105));
    }

    @Test
    void theYoungestOfTheRestedIsLentAndTheOldestAreClosed() {
        Pool<Conn> pool = pool();
        Conn old = new Conn();
        Conn young = new Conn();
        pool.give(old, 0);
        pool.give(young, 1);
        assertEquals(0, pool.idlestSince());
        assertEquals(new Lent<>(young, 0, 49), pool.take(50));
        pool.give(young, 50);
        assertEquals(List.of(old), pool.takeIdleSince(10));
        assertEquals(1, pool.free());
        assertEquals(50, pool.idlestSince());
    }

    @Test
    void aWaitAsksForOneSpareAtATime() {
        Pool<Conn> pool = pool();
        assertFalse(pool.claimSpare(0));
        pool.give(new Conn(), 0);
        pool.take(1);
        assertTrue(pool.claimSpare(1));
        pool.give(new Conn(), 1);
        pool.take(2);
        assertFalse(pool.claimSpare(2), "one is being opened");
        Conn spare = new Conn();
        pool.spareOpened(spare, 3);
        assertEquals(new Lent<>(spare, 1, 1), pool.take(4), "it rests as well");
        assertTrue(pool.claimSpare(4));
        pool.spareFailed(5);
        pool.give(new Conn(), 5);
        pool.take(6);
        assertFalse(pool.claimSpare(24), "none for a while after one that failed");
        pool.give(new Conn(), 24);
        pool.take(25);
        assertTrue(pool.claimSpare(25));
    }

    @Test
    void oneThatHasEndedUnheardIsNotLent() {
        Pool<Conn> pool = pool();
        Conn ended = new Conn();
        Conn open = new Conn();
        pool.give(open, 0);
        pool.give(ended, 0);
        ended.open = false;
        assertEquals(new Lent<>(open, 0, 9), pool.take(9));
        assertNull(pool.take(9));
        assertEquals(0, pool.free());
    }

    /** Guards against taking a server's refusal of a spare for a server that ends the connections it serves on. */
    @Test
    void theEndOfASpareIsToldApart() {
        Pool<Conn> pool = pool();
        Conn kept = new Conn();
        Conn spare = new Conn();
        pool.give(kept, 0);
        pool.spareOpened(spare, 0);
        assertEquals(Ended.SPARE, pool.ended(spare, true, 1));
        assertEquals(Ended.NOT_HERE, pool.ended(spare, true, 1));
        assertEquals(Ended.KEPT, pool.ended(kept, true, 1));
        Conn lent = new Conn();
        pool.give(lent, 2);
        pool.take(9);
        assertEquals(Ended.NOT_HERE, pool.ended(lent, true, 9), "its call hears of it");
    }

    /**
     * Every sequence of seven events on up to three connections: no connection is lent twice at once, none that has
     * ended or still rests, none is lost or made up, spares stay bounded.
     */
    @Test
    void everyShortHistory() {
        long[] states = new long[1];
        explore(new int[7], 0, states);
        assertTrue(states[0] > 100_000, states[0] + " histories");
    }

    private static final int EVENTS = 7;

    private static void explore(int[] events, int depth, long[] histories) {
        if (depth == events.length) {
            histories[0]++;
            replay(events);
            return;
        }
        for (int event = 0; event < EVENTS; event++) {
            // Time may pass anywhere, but twice in a row is the same as once more.
            if (depth < 2 || event != 0 || events[depth - 1] != 0 || events[depth - 2] != 0) {
                events[depth] = event;
                explore(events, depth + 1, histories);
            }
        }
    }

    /**
     * Plays a history; what the machine can't do in a state (such as giving back when nothing is lent) is passed over.
     */
    private static void replay(int[] events) {
        Pool<Conn> pool = pool();
        Set<Conn> alive = new HashSet<>();
        Set<Conn> lent = new HashSet<>();
        java.util.Map<Conn, Long> restedAt = new java.util.HashMap<>();
        long now = 0;
        boolean opening = false;
        int made = 0;
        for (int event : events) {
            switch (event) {
                case 0 -> now += 3;
                case 1 -> {
                    Lent<Conn> taken = pool.take(now);
                    if (taken != null) {
                        check(taken.connection().open, events, "an ended one was lent");
                        check(lent.add(taken.connection()), events, "lent twice");
                        check(now + taken.rest() >= restedAt.get(taken.connection()), events, "lent before its rest");
                        check(taken.rest() <= RULES.answerRest(), events, "too long a wait");
                    } else if (made < 3) {
                        made++;
                        Conn fresh = new Conn();
                        alive.add(fresh);
                        lent.add(fresh);
                    }
                }
                case 2 -> {
                    if (!lent.isEmpty()) {
                        Conn back = lent.iterator().next();
                        lent.remove(back);
                        restedAt.put(back, now + RULES.answerRest());
                        pool.give(back, now);
                    }
                }
                case 3 -> {
                    if (!alive.isEmpty()) {
                        Conn ends = alive.iterator().next();
                        alive.remove(ends);
                        ends.open = false;
                        boolean here = pool.ended(ends, true, now) != Ended.NOT_HERE;
                        check(!(here && lent.contains(ends)), events, "free and lent");
                        lent.remove(ends);
                    }
                }
                case 4 -> {
                    if (pool.claimSpare(now)) {
                        check(!opening, events, "two spares at once");
                        check(pool.free() < RULES.mostFree(), events, "too many free ones");
                        opening = true;
                    }
                }
                case 5 -> {
                    if (opening) {
                        opening = false;
                        Conn spare = new Conn();
                        alive.add(spare);
                        restedAt.put(spare, now + RULES.freshRest());
                        pool.spareOpened(spare, now);
                    }
                }
                default ->
                    pool.takeIdleSince(now - 4).forEach(c -> {
                        check(!lent.contains(c), events, "a lent one was closed");
                        alive.remove(c);
                    });
            }
            long free = alive.stream().filter(c -> !lent.contains(c)).count();
            check(pool.free() == free, events, "free " + pool.free() + " where there are " + free);
        }
    }

    private static void check(boolean holds, int[] events, String what) {
        assertTrue(holds, () -> what + " after " + java.util.Arrays.toString(events));
    }

    /**
     * A server ended one that had been free for 90: for a while none is lent that has been free for 60, but younger
     * ones are.
     */
    @Test
    void connectionsAreKeptForLessThanTheShortestIdleTimeSeen() {
        Pool<Conn> pool = pool();
        Conn one = new Conn();
        pool.give(one, 0);
        assertEquals(Long.MIN_VALUE, pool.tooOld(89));
        assertEquals(Ended.KEPT, pool.ended(one, true, 90));
        assertEquals(100 - 60, pool.tooOld(100));
        pool.endedAfter(300, 200);
        assertEquals(300 - 60, pool.tooOld(300), "a longer time says nothing new");
        pool.endedAfter(60, 300);
        assertEquals(400 - 40, pool.tooOld(400));
        assertTrue(pool.keeps(400));
        assertEquals(Long.MIN_VALUE, pool.tooOld(800), "forgotten");
        pool.give(one, 800);
        pool.ended(one, false, 890);
        assertEquals(Long.MIN_VALUE, pool.tooOld(890), "ended by this side");
    }

    /**
     * Ends right behind an answer tell of no idle time; one in five is borne, a server that ends nearly all gets none
     * kept.
     */
    @Test
    void aServerThatEndsMostRightBehindAnswersGetsNoneKept() {
        Pool<Conn> pool = pool();
        for (int now = 0; now < 4000; now += 20) {
            pool.give(new Conn(), now);
            if (now % 100 == 0) {
                pool.endedAfter(4, now);
            }
            assertEquals(0, pool.take(now + 9).rest());
            assertEquals(Long.MIN_VALUE, pool.tooOld(now));
        }
        int ends = 0;
        while (pool.keeps(4000)) {
            pool.endedAfter(4, 4000);
            ends++;
        }
        assertTrue(ends <= 6, ends + " ends");
        assertEquals(Long.MAX_VALUE, pool.tooOld(4499));
        assertTrue(pool.keeps(4500));
    }
}
