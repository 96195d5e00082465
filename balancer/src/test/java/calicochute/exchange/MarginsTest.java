package calicochute.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MarginsTest {
    /**
     * Guards against margins that leave no time to serve a session with a short timeout. The guard's timer must be due
     * after the module's deadline and before the client's timeout.
     */
    @Test
    void marginsAreSmallComparedToTheTimeout() {
        assertEquals(15_000, Margins.responseMicros(9_000_000));
        assertEquals(15_000, Margins.responseMicros(60_000));
        assertEquals(5_000, Margins.guardMicros(60_000));
        for (long timeoutMicros = 1_000; timeoutMicros < 100_000; timeoutMicros += 1_000) {
            long response = Margins.responseMicros(timeoutMicros);
            long guard = Margins.guardMicros(timeoutMicros);
            assertTrue(response <= timeoutMicros / 4 && guard > 0 && guard < response, "" + timeoutMicros);
        }
    }
}
