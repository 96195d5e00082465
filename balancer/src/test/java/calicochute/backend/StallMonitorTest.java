package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallMonitorTest {
    private static final long CHECK_INTERVAL_MICROS = 500_000;

    /** The number of checks that a response passes that brings this many bytes between two of them; at most 10,000. */
    private static int checks(long bytesPerCheck, boolean awaitsSource) {
        StallMonitor monitor = new StallMonitor(0, 16_384);
        int checks = 1;
        while (checks < 10_000
                && !monitor.hasStalled(checks * CHECK_INTERVAL_MICROS, 16_384 + checks * bytesPerCheck, awaitsSource)) {
            checks++;
        }
        return checks;
    }

    @Test
    void silentServerHasStalled() {
        assertEquals(10, checks(0, true));
    }

    @Test
    void serverThatStillSendsHasNotStalled() {
        assertEquals(10_000, checks(1, true));
    }

    @Test
    void slowClientIsNotCountedAgainstServer() {
        assertEquals(10_000, checks(0, false));
    }

    /** Each byte allows the same silence again; fast periods before it earn no credit. */
    @Test
    void toleratedSilenceIsBounded() {
        StallMonitor monitor = new StallMonitor(0, 0);
        assertEquals(false, monitor.hasStalled(4_900_000, 1, true));
        assertEquals(false, monitor.hasStalled(9_800_000, 1_000_000, true));
        assertEquals(false, monitor.hasStalled(14_700_000, 1_000_000, true));
        assertEquals(true, monitor.hasStalled(14_800_000, 1_000_000, true));
    }
}
