package calicochute.frontend;

/**
 * The limit of client connections: the configured one until file descriptors turn out to be fewer. Does no I/O; callers
 * pass the time in microseconds.
 *
 * <p>If the process's real descriptor limit is below the configured one, idle clients could otherwise hold the last
 * descriptors, and busy clients, discovery, backend servers and the admin address would get none.
 */
final class ConnectionLimit {
    /** Number of descriptors freed per shortage: others will soon be needed besides the missing one. */
    static final int FREED_PER_SHORTAGE = 8;
    /** The limit never falls below this, whoever holds the other descriptors. */
    static final int MIN_CONNECTIONS = 8;
    /**
     * The limit recovers by one connection per interval: a shortage may be temporary, and a further one costs only idle
     * connections.
     */
    static final long REGAIN_INTERVAL_MICROS = 5_000_000;
    /** Time after which closed connections have released their descriptors. */
    static final long SETTLE_MICROS = 200_000;

    private final int configuredLimit;
    private int reducedLimit;
    private long reducedAtMicros;

    ConnectionLimit(int configuredLimit) {
        this.configuredLimit = configuredLimit;
        reducedLimit = configuredLimit;
    }

    /** The limit at that time. */
    synchronized int limitAt(long nowMicros) {
        return reducedLimit >= configuredLimit
                ? configuredLimit
                : (int) Math.min(
                        configuredLimit, reducedLimit + (nowMicros - reducedAtMicros) / REGAIN_INTERVAL_MICROS);
    }

    /**
     * Reduces the limit because descriptors are exhausted; returns false, and changes nothing, if those freed last are
     * not released yet.
     */
    synchronized boolean reduceOnShortage(long nowMicros, int openConnections) {
        if (reducedLimit < configuredLimit && nowMicros - reducedAtMicros < SETTLE_MICROS) {
            return false;
        }
        reducedLimit = Math.min(
                configuredLimit,
                Math.max(MIN_CONNECTIONS, Math.min(limitAt(nowMicros), openConnections) - FREED_PER_SHORTAGE));
        reducedAtMicros = nowMicros;
        return true;
    }
}
