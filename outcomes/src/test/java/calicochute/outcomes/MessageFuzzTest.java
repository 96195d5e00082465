package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.DropCounts.Cause;
import net.jqwik.api.Example;

class MessageFuzzTest {
    /** No input throws, memory stays bounded, no implausible row is stored, and the causes of drops all occur. */
    @Example
    void arbitraryInputIsDroppedAndCounted() {
        DropCounts counts = MessageFuzzer.run(100_000, 2).counts();
        for (Cause cause :
                new Cause[] {Cause.MALFORMED, Cause.IMPOSSIBLE, Cause.CLOCK_OFF, Cause.CLASH, Cause.TOO_MANY}) {
            assertTrue(counts.of(cause) > 100, () -> counts.all().toString());
        }
    }
}
