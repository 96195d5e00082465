package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ThroughputMonitorTest {
    private static final long CHECK_INTERVAL_MICROS = 500_000;

    /** The number of checks that a response passes that brings this many bytes between two of them; at most 10,000. */
    private static int checks(long bytesPerCheck, boolean awaitsSource) {
        ThroughputMonitor monitor = new ThroughputMonitor(0, 16_384);
        int checks = 1;
        while (checks < 10_000
                && monitor.isSufficient(
                        checks * CHECK_INTERVAL_MICROS, 16_384 + checks * bytesPerCheck, awaitsSource)) {
            checks++;
        }
        return checks;
    }

    @Test
    void stalledOrTricklingResponseFails() {
        assertEquals(10, checks(0, true));
        assertEquals(11, checks(1, true), "a byte at a time is no progress");
        assertEquals(10_000, checks(500, true), "slow but steady");
    }

    @Test
    void slowClientIsNotCountedAgainstServer() {
        assertEquals(10_000, checks(0, false));
    }

    /** A stall is tolerated again once later bytes have made up for it; fast periods before it earn no credit. */
    @Test
    void toleratedStallIsBounded() {
        ThroughputMonitor monitor = new ThroughputMonitor(0, 0);
        assertEquals(true, monitor.isSufficient(4_900_000, 0, true));
        assertEquals(true, monitor.isSufficient(5_000_000, 1_000_000, true));
        assertEquals(true, monitor.isSufficient(9_900_000, 1_000_000, true));
        assertEquals(false, monitor.isSufficient(10_000_000, 1_000_000, true));
    }
}
