package calicochute.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.pool.ConnectionPool.Lease;
import calicochute.pool.ConnectionPool.StateAtClose;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConnectionPoolTest {
    private static final ConnectionPool.Rules RULES = new ConnectionPool.Rules(2, 5, 2, 20, 25, 100, 10, 500);

    /** A model connection; {@code open} is false once the server has closed it. */
    private static final class FakeConnection {
        boolean open = true;
    }

    private static ConnectionPool<FakeConnection> pool() {
        return new ConnectionPool<>(RULES, c -> c.open);
    }

    @Test
    void connectionWithoutDelayIsLeasedFirst() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection old = new FakeConnection();
        FakeConnection young = new FakeConnection();
        pool.release(old, 0);
        pool.release(young, 6);
        assertEquals(new Lease<>(old, 0, 7), pool.lease(7));
        assertEquals(new Lease<>(young, 4, 1), pool.lease(7));
        assertNull(pool.lease(7));
    }

    /**
     * A duplicate response arrived late: the next one must arrive while the connection is idle, not during the next
     * call.
     */
    @Test
    void unsolicitedDataLengthensReuseDelay() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection connection = new FakeConnection();
        pool.recordUnsolicitedData(0);
        pool.release(connection, 10);
        assertEquals(new Lease<>(connection, 20, 5), pool.lease(15));
        pool.release(connection, 100);
        assertEquals(new Lease<>(connection, 0, 5), pool.lease(105));
    }

    @Test
    void mostRecentlyUsedIsLeasedAndLongestIdleIsRemoved() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection old = new FakeConnection();
        FakeConnection young = new FakeConnection();
        pool.release(old, 0);
        pool.release(young, 1);
        assertEquals(0, pool.longestIdleSince());
        assertEquals(new Lease<>(young, 0, 49), pool.lease(50));
        pool.release(young, 50);
        assertEquals(List.of(old), pool.removeIdleSince(10));
        assertEquals(1, pool.idleCount());
        assertEquals(50, pool.longestIdleSince());
    }

    @Test
    void delayedLeaseRequestsOneSpareAtATime() {
        ConnectionPool<FakeConnection> pool = pool();
        assertFalse(pool.claimSpare(0));
        pool.release(new FakeConnection(), 0);
        pool.lease(1);
        assertTrue(pool.claimSpare(1));
        pool.release(new FakeConnection(), 1);
        pool.lease(2);
        assertFalse(pool.claimSpare(2), "a spare is already being opened");
        FakeConnection spare = new FakeConnection();
        pool.spareOpened(spare, 3);
        assertEquals(new Lease<>(spare, 1, 1), pool.lease(4), "a spare has its delay too");
        assertTrue(pool.claimSpare(4));
        pool.spareFailed(5);
        pool.release(new FakeConnection(), 5);
        pool.lease(6);
        assertFalse(pool.claimSpare(24), "no spare during the backoff");
        pool.release(new FakeConnection(), 24);
        pool.lease(25);
        assertTrue(pool.claimSpare(25));
    }

    @Test
    void closedConnectionIsNotLeasedBeforeItsCloseEvent() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection closed = new FakeConnection();
        FakeConnection open = new FakeConnection();
        pool.release(open, 0);
        pool.release(closed, 0);
        closed.open = false;
        assertEquals(new Lease<>(open, 0, 9), pool.lease(9));
        assertNull(pool.lease(9));
        assertEquals(0, pool.idleCount());
    }

    /** A server that rejects a spare must not be lease for one that closes the connections it has served on. */
    @Test
    void closeOfUnusedConnectionIsDistinguished() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection used = new FakeConnection();
        FakeConnection spare = new FakeConnection();
        pool.release(used, 0);
        pool.spareOpened(spare, 0);
        assertEquals(StateAtClose.IDLE_UNUSED, pool.connectionClosed(spare, true, 1));
        assertEquals(StateAtClose.NOT_IDLE, pool.connectionClosed(spare, true, 1));
        assertEquals(StateAtClose.IDLE_USED, pool.connectionClosed(used, true, 1));
        FakeConnection leased = new FakeConnection();
        pool.release(leased, 2);
        pool.lease(9);
        assertEquals(StateAtClose.NOT_IDLE, pool.connectionClosed(leased, true, 9), "leased connections are not idle");
    }

    /**
     * Every sequence of seven events on up to three connections: no connection is leased twice at a time, after it was
     * closed or before its delay; none is lost or invented; the number of spares is limited.
     */
    @Test
    void everyShortEventSequence() {
        long[] sequenceCount = new long[1];
        explore(new int[7], 0, sequenceCount);
        assertTrue(sequenceCount[0] > 100_000, sequenceCount[0] + " sequences");
    }

    private static final int EVENTS = 7;

    private static void explore(int[] events, int depth, long[] sequences) {
        if (depth == events.length) {
            sequences[0]++;
            replay(events);
            return;
        }
        for (int event = 0; event < EVENTS; event++) {
            // Time may pass at any point, but three times in a row adds no new state.
            if (depth < 2 || event != 0 || events[depth - 1] != 0 || events[depth - 2] != 0) {
                events[depth] = event;
                explore(events, depth + 1, sequences);
            }
        }
    }

    /** Replays a sequence; events that are impossible in a state (such as a release without a lease) are skipped. */
    private static void replay(int[] events) {
        ConnectionPool<FakeConnection> pool = pool();
        Set<FakeConnection> connections = new HashSet<>();
        Set<FakeConnection> leased = new HashSet<>();
        java.util.Map<FakeConnection, Long> leasableAt = new java.util.HashMap<>();
        long now = 0;
        boolean opening = false;
        int created = 0;
        for (int event : events) {
            switch (event) {
                case 0 -> now += 3;
                case 1 -> {
                    Lease<FakeConnection> lease = pool.lease(now);
                    if (lease != null) {
                        check(lease.connection().open, events, "a closed connection was leased");
                        check(leased.add(lease.connection()), events, "leased twice");
                        check(
                                now + lease.delayMicros() >= leasableAt.get(lease.connection()),
                                events,
                                "leased before its delay");
                        check(lease.delayMicros() <= RULES.reuseDelayMicros(), events, "delay too long");
                    } else if (created < 3) {
                        created++;
                        FakeConnection fresh = new FakeConnection();
                        connections.add(fresh);
                        leased.add(fresh);
                    }
                }
                case 2 -> {
                    if (!leased.isEmpty()) {
                        FakeConnection released = leased.iterator().next();
                        leased.remove(released);
                        leasableAt.put(released, now + RULES.reuseDelayMicros());
                        pool.release(released, now);
                    }
                }
                case 3 -> {
                    if (!connections.isEmpty()) {
                        FakeConnection closed = connections.iterator().next();
                        connections.remove(closed);
                        closed.open = false;
                        boolean wasIdle = pool.connectionClosed(closed, true, now) != StateAtClose.NOT_IDLE;
                        check(!(wasIdle && leased.contains(closed)), events, "idle and leased");
                        leased.remove(closed);
                    }
                }
                case 4 -> {
                    if (pool.claimSpare(now)) {
                        check(!opening, events, "two spares at a time");
                        check(pool.idleCount() < RULES.maxIdleForSpare(), events, "too many idle connections");
                        opening = true;
                    }
                }
                case 5 -> {
                    if (opening) {
                        opening = false;
                        FakeConnection spare = new FakeConnection();
                        connections.add(spare);
                        leasableAt.put(spare, now + RULES.newConnectionDelayMicros());
                        pool.spareOpened(spare, now);
                    }
                }
                default ->
                    pool.removeIdleSince(now - 4).forEach(c -> {
                        check(!leased.contains(c), events, "a leased connection was closed");
                        connections.remove(c);
                    });
            }
            long idle = connections.stream().filter(c -> !leased.contains(c)).count();
            check(
                    pool.idleCount() == idle,
                    events,
                    "pool has " + pool.idleCount() + " idle connections instead of " + idle);
        }
    }

    private static void check(boolean condition, int[] events, String what) {
        assertTrue(condition, () -> what + " after " + java.util.Arrays.toString(events));
    }

    /**
     * The server closed a connection that had been idle for 90: for a while none is leased that has been idle for 60,
     * but younger ones are.
     */
    @Test
    void idleCutoffFollowsShortestObservedIdleTime() {
        ConnectionPool<FakeConnection> pool = pool();
        FakeConnection connection = new FakeConnection();
        pool.release(connection, 0);
        assertEquals(Long.MIN_VALUE, pool.idleCutoff(89));
        assertEquals(StateAtClose.IDLE_USED, pool.connectionClosed(connection, true, 90));
        assertEquals(100 - 60, pool.idleCutoff(100));
        pool.recordServerClose(300, 200);
        assertEquals(300 - 60, pool.idleCutoff(300), "a longer idle time changes nothing");
        pool.recordServerClose(60, 300);
        assertEquals(400 - 40, pool.idleCutoff(400));
        assertTrue(pool.reusesConnections(400));
        assertEquals(Long.MIN_VALUE, pool.idleCutoff(800), "observation period has passed");
        pool.release(connection, 800);
        pool.connectionClosed(connection, false, 890);
        assertEquals(Long.MIN_VALUE, pool.idleCutoff(890), "closed by this side");
    }

    /**
     * Closes immediately after a response show no idle timeout. One in five is tolerated; if nearly all are closed,
     * connections are not reused.
     */
    @Test
    void immediateClosesDisableReuse() {
        ConnectionPool<FakeConnection> pool = pool();
        for (int now = 0; now < 4000; now += 20) {
            pool.release(new FakeConnection(), now);
            if (now % 100 == 0) {
                pool.recordServerClose(4, now);
            }
            assertEquals(0, pool.lease(now + 9).delayMicros());
            assertEquals(Long.MIN_VALUE, pool.idleCutoff(now));
        }
        int closes = 0;
        while (pool.reusesConnections(4000)) {
            pool.recordServerClose(4, 4000);
            closes++;
        }
        assertTrue(closes <= 6, closes + " closes");
        assertEquals(Long.MAX_VALUE, pool.idleCutoff(4499));
        assertTrue(pool.reusesConnections(4500));
    }
}
