package calicochute.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The idle connections to one backend server: a state machine without I/O, with the current time as an argument. All
 * times are in microseconds.
 *
 * <p>A connection is idle or leased. A leased connection belongs to one call; it is returned with {@link #release} or
 * not at all. An idle connection may carry a call only after a delay: {@code reuseDelayMicros} after a response,
 * because data that a server sends after its response arrives immediately and closes the connection;
 * {@code newConnectionDelayMicros} after it was established, because a server that rejects a connection resets it
 * immediately.
 *
 * <p>Of the connections whose delay has passed, the one that became idle last is leased, so that surplus connections
 * age and are closed. If no delay has passed, the connection with the shortest remaining delay is leased together with
 * that delay, which is shorter than a handshake. Because a session then has to wait, the pool asks for a spare: a
 * connection that is opened in advance, for no particular session. The number of idle connections for which a spare is
 * opened is limited, one spare is opened at a time, and after the server closed a spare none is opened for a while.
 *
 * <p>A server that closes idle connections earlier than configured thereby shows its own idle timeout: for a while no
 * connection is leased that has been idle for two thirds of the shortest time observed.
 *
 * @param <C> the connection type
 */
public final class ConnectionPool<C> {
    /**
     * Weight of one connection in the moving average of the share that the server closes immediately after a response.
     */
    private static final double CLOSE_SAMPLE_WEIGHT = 1.0 / 8;

    /**
     * Limit of the share of idle connections that the server closes immediately after a response; above it, connections
     * are not reused for a while.
     */
    private static final double MAX_IMMEDIATE_CLOSE_SHARE = 0.5;

    private final Rules rules;
    /** Whether a connection is open as far as this side knows. */
    private final Predicate<C> open;
    /** The most recently added first. */
    private final ArrayDeque<IdleConnection<C>> idleConnections = new ArrayDeque<>();
    /** Found closed when they were about to be leased; the close event arrives later. */
    private final List<IdleConnection<C>> foundClosed = new ArrayList<>();

    /** A lease had to wait since a spare was last considered. */
    private boolean spareWanted;

    /** A spare is being opened. */
    private boolean spareOpening;
    /** No spare is opened before this time. */
    private long sparesBlockedUntil = Long.MIN_VALUE;
    /** The long reuse delay applies before this time. */
    private long longReuseDelayUntil = Long.MIN_VALUE;
    /** Shortest observed idle time after which the server closed a connection. */
    private long shortestIdleMicros;
    /** Until when the shortest observed idle time is used. */
    private long shortestIdleValidUntil = Long.MIN_VALUE;
    /** Moving average of the share of idle connections that the server closed immediately after a response. */
    private double immediateCloseShare;

    /** Connections are not reused before this time. */
    private long reuseDisabledUntil = Long.MIN_VALUE;

    /**
     * Delays and limits of a pool.
     *
     * @param newConnectionDelayMicros delay before the first call on a new connection
     * @param reuseDelayMicros delay between a response and the next call on its connection
     * @param maxIdleForSpare no spare is opened if at least this many connections are idle
     * @param spareBackoffMicros no spare is opened for this long after one failed
     * @param longReuseDelayMicros reuse delay for a server that sent unsolicited data
     * @param longReuseDelayPeriodMicros how long the long reuse delay applies after unsolicited data
     * @param immediateCloseMicros a close within this time after a response belongs to the response and shows no idle
     *     timeout
     * @param observationPeriodMicros how long observed idle times are used
     */
    public record Rules(
            long newConnectionDelayMicros,
            long reuseDelayMicros,
            int maxIdleForSpare,
            long spareBackoffMicros,
            long longReuseDelayMicros,
            long longReuseDelayPeriodMicros,
            long immediateCloseMicros,
            long observationPeriodMicros) {}

    /**
     * A connection leased to a call that may start after {@code delayMicros}; it had been idle for {@code idleMicros}.
     */
    public record Lease<C>(C connection, long delayMicros, long idleMicros) {}

    /** The state of a connection when it was closed. */
    public enum StateAtClose {
        /** Not idle: the call that leased it is notified by the connection. */
        NOT_IDLE,
        /** Idle after at least one call. */
        IDLE_USED,
        /** Idle and never used for a call. */
        IDLE_UNUSED
    }

    private record IdleConnection<C>(C connection, long idleSince, long leasableAt, boolean used) {}

    /**
     * Creates an empty pool; {@code open} tells whether a connection is open as far as this side knows, and is checked
     * before each lease.
     */
    public ConnectionPool(Rules rules, Predicate<C> open) {
        this.rules = rules;
        this.open = open;
    }

    /** Leases an idle connection, or returns null if there is none. */
    public Lease<C> lease(long now) {
        IdleConnection<C> earliest = null;
        for (Iterator<IdleConnection<C>> iterator = idleConnections.iterator(); iterator.hasNext(); ) {
            IdleConnection<C> entry = iterator.next();
            if (!open.test(entry.connection)) {
                // Its close event is evaluated when it arrives; only the backoff for spares starts immediately, so
                // that no further spare is opened.
                iterator.remove();
                foundClosed.add(entry);
                if (!entry.used) {
                    blockSpares(now);
                }
            } else if (entry.leasableAt <= now) {
                iterator.remove();
                return createLease(entry, 0, now);
            } else if (earliest == null || entry.leasableAt < earliest.leasableAt) {
                earliest = entry;
            }
        }
        if (earliest == null) {
            return null;
        }
        idleConnections.remove(earliest);
        spareWanted = true;
        return createLease(earliest, earliest.leasableAt - now, now);
    }

    private Lease<C> createLease(IdleConnection<C> entry, long delayMicros, long now) {
        immediateCloseShare -= immediateCloseShare * CLOSE_SAMPLE_WEIGHT;
        return new Lease<>(entry.connection, delayMicros, now - entry.idleSince);
    }

    /**
     * Records that the server closed a used connection after this idle time. Connections are then kept idle for a
     * shorter time, so that no call is written to one that is just being closed; if most are closed immediately after a
     * response, connections are not reused for a while.
     */
    public void recordServerClose(long idleMicros, long now) {
        if (idleMicros >= rules.immediateCloseMicros) {
            shortestIdleMicros = now < shortestIdleValidUntil ? Math.min(shortestIdleMicros, idleMicros) : idleMicros;
            shortestIdleValidUntil = now + rules.observationPeriodMicros;
            return;
        }
        immediateCloseShare += (1 - immediateCloseShare) * CLOSE_SAMPLE_WEIGHT;
        if (immediateCloseShare > MAX_IMMEDIATE_CLOSE_SHARE) {
            immediateCloseShare = 0;
            reuseDisabledUntil = now + rules.observationPeriodMicros;
        }
    }

    /** Connections idle since this time or longer must not be leased. */
    public long idleCutoff(long now) {
        return now < reuseDisabledUntil
                ? Long.MAX_VALUE
                : now < shortestIdleValidUntil ? now - shortestIdleMicros * 2 / 3 : Long.MIN_VALUE;
    }

    /** Whether connections are reused at all. */
    public boolean reusesConnections(long now) {
        return now >= reuseDisabledUntil;
    }

    /** Returns a leased connection after a response. */
    public void release(C connection, long now) {
        long delayMicros = now < longReuseDelayUntil ? rules.longReuseDelayMicros : rules.reuseDelayMicros;
        idleConnections.addFirst(new IdleConnection<>(connection, now, now + delayMicros, true));
    }

    /**
     * Records that the server sent data that belongs to no call: further late data must arrive while the connection is
     * idle.
     */
    public void recordUnsolicitedData(long now) {
        longReuseDelayUntil = now + rules.longReuseDelayPeriodMicros;
    }

    /** Whether a spare should be opened; if so, it counts as being opened from this call on. */
    public boolean claimSpare(long now) {
        boolean claimed = spareWanted
                && !spareOpening
                && now >= sparesBlockedUntil
                && idleConnections.size() < rules.maxIdleForSpare;
        spareWanted = false;
        spareOpening |= claimed;
        return claimed;
    }

    /** Adds the spare whose opening was claimed. */
    public void spareOpened(C connection, long now) {
        spareOpening = false;
        addUnused(connection, now);
    }

    /** Adds a new connection that no request is waiting for. */
    public void addUnused(C connection, long now) {
        idleConnections.addFirst(new IdleConnection<>(connection, now, now + rules.newConnectionDelayMicros, false));
    }

    /** Records that the claimed spare could not be opened or is not needed any more. */
    public void spareFailed(long now) {
        spareOpening = false;
        blockSpares(now);
    }

    /** Records that the server closed an unused connection: no spare is opened for a while. */
    public void blockSpares(long now) {
        sparesBlockedUntil = now + rules.spareBackoffMicros;
    }

    /**
     * Removes a closed connection. {@code byServer}: the server closed it, rather than this side because of unsolicited
     * data.
     */
    public StateAtClose connectionClosed(C connection, boolean byServer, long now) {
        IdleConnection<C> entry = remove(idleConnections, connection);
        if (entry == null) {
            entry = remove(foundClosed, connection);
        }
        if (entry == null) {
            return StateAtClose.NOT_IDLE;
        }
        if (!entry.used) {
            blockSpares(now);
        } else if (byServer) {
            recordServerClose(now - entry.idleSince, now);
        }
        return entry.used ? StateAtClose.IDLE_USED : StateAtClose.IDLE_UNUSED;
    }

    private static <C> IdleConnection<C> remove(Collection<IdleConnection<C>> from, C connection) {
        for (Iterator<IdleConnection<C>> iterator = from.iterator(); iterator.hasNext(); ) {
            IdleConnection<C> entry = iterator.next();
            if (entry.connection == connection) {
                iterator.remove();
                return entry;
            }
        }
        return null;
    }

    /** Removes the connections idle since this time or longer, for the caller to close. */
    public List<C> removeIdleSince(long time) {
        List<C> removed = new ArrayList<>();
        idleConnections.removeIf(entry -> entry.idleSince <= time && removed.add(entry.connection));
        return removed;
    }

    /** The number of idle connections. */
    public int idleCount() {
        return idleConnections.size();
    }

    /** Since when the longest idle connection has been idle; {@link Long#MAX_VALUE} if none is idle. */
    public long longestIdleSince() {
        long since = Long.MAX_VALUE;
        for (IdleConnection<C> entry : idleConnections) {
            since = Math.min(since, entry.idleSince);
        }
        return since;
    }
}
