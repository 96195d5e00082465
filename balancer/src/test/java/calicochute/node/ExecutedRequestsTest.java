package calicochute.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ExecutedRequestsTest {
    private final ExecutedRequests executed = new ExecutedRequests();

    @Test
    void idIsRememberedForAWhile() {
        executed.add("a", 10);
        assertTrue(executed.contains("a", 9 + ExecutedRequests.RETENTION_MICROS));
        assertFalse(executed.contains("a", 10 + ExecutedRequests.RETENTION_MICROS));
        assertFalse(executed.contains("b", 10));
    }

    /** Memory stays bounded under a flood of ids; an id that comes again counts as new. */
    @Test
    void oldestIdsAreForgotten() {
        executed.add("first", 0);
        executed.add("second", 0);
        executed.add("first", 1);
        for (int i = 0; i < ExecutedRequests.MAX_IDS - 1; i++) {
            executed.add(Integer.toString(i), 2);
        }
        assertTrue(executed.contains("first", 3));
        assertFalse(executed.contains("second", 3));
        executed.add("last", 3);
        assertFalse(executed.contains("first", 3));
    }
}
