package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ConnectionLimitTest {
    private static final int CONFIGURED_LIMIT = 100;

    /**
     * A shortage reduces the limit below the open connections, one that follows at once changes nothing, and the limit
     * recovers slowly.
     */
    @Test
    void shortageReducesTheLimitWhichRecovers() {
        ConnectionLimit limit = new ConnectionLimit(CONFIGURED_LIMIT);
        assertEquals(CONFIGURED_LIMIT, limit.limitAt(0));
        assertTrue(limit.reduceOnShortage(0, 40));
        assertEquals(40 - ConnectionLimit.FREED_PER_SHORTAGE, limit.limitAt(0));
        assertFalse(limit.reduceOnShortage(ConnectionLimit.SETTLE_MICROS - 1, 40));
        assertEquals(40 - ConnectionLimit.FREED_PER_SHORTAGE, limit.limitAt(ConnectionLimit.SETTLE_MICROS));
        assertTrue(limit.reduceOnShortage(ConnectionLimit.SETTLE_MICROS, 40 - ConnectionLimit.FREED_PER_SHORTAGE));
        assertEquals(40 - 2 * ConnectionLimit.FREED_PER_SHORTAGE, limit.limitAt(ConnectionLimit.SETTLE_MICROS));
        assertEquals(
                40 - 2 * ConnectionLimit.FREED_PER_SHORTAGE + 1,
                limit.limitAt(ConnectionLimit.SETTLE_MICROS + ConnectionLimit.REGAIN_INTERVAL_MICROS));
        assertEquals(CONFIGURED_LIMIT, limit.limitAt(1000 * ConnectionLimit.REGAIN_INTERVAL_MICROS));
    }

    /**
     * For any sequence of shortages the limit stays between the minimum and the configured one, and each counted
     * shortage leaves fewer connections than were open.
     */
    @Property(seed = "4711")
    void limitStaysWithinItsBounds(@ForAll @Size(max = 100) List<@IntRange(min = 0, max = 300) Integer> steps) {
        ConnectionLimit limit = new ConnectionLimit(CONFIGURED_LIMIT);
        long nowMicros = 0;
        for (int step : steps) {
            nowMicros += step * ConnectionLimit.SETTLE_MICROS / 20;
            int openConnections = step % (CONFIGURED_LIMIT + 1);
            if (limit.reduceOnShortage(nowMicros, openConnections)) {
                assertTrue(limit.limitAt(nowMicros)
                        <= Math.max(
                                ConnectionLimit.MIN_CONNECTIONS, openConnections - ConnectionLimit.FREED_PER_SHORTAGE));
            }
            assertTrue(limit.limitAt(nowMicros) >= ConnectionLimit.MIN_CONNECTIONS
                    && limit.limitAt(nowMicros) <= CONFIGURED_LIMIT);
        }
    }

    /** A configured limit at the minimum is not reduced. */
    @Test
    void minimumLimitIsNotReduced() {
        ConnectionLimit limit = new ConnectionLimit(ConnectionLimit.MIN_CONNECTIONS);
        assertTrue(limit.reduceOnShortage(0, ConnectionLimit.MIN_CONNECTIONS));
        assertEquals(ConnectionLimit.MIN_CONNECTIONS, limit.limitAt(0));
    }
}
