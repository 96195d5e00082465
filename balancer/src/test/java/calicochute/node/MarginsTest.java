package calicochute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MarginsTest {
    /**
     * Of however little time most is left to serve in, and the guard comes between the module's end and the client's.
     */
    @Test
    void mostOfTheTimeIsLeft() {
        assertEquals(15_000, Margins.answer(9_000_000));
        assertEquals(15_000, Margins.answer(60_000));
        assertEquals(5_000, Margins.guard(60_000));
        for (long patience = 1_000; patience < 100_000; patience += 1_000) {
            long answer = Margins.answer(patience), guard = Margins.guard(patience);
            assertTrue(answer <= patience / 4 && guard > 0 && guard < answer, "" + patience);
        }
    }
}
