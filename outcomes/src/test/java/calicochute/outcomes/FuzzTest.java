package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.Counts.Cause;
import net.jqwik.api.Example;

class FuzzTest {
    /** Nothing throws, memory stays bounded, and no row is read that cannot be; each kind of drop is met. */
    @Example
    void whateverComes() {
        Counts counts = Fuzz.run(100_000, 2).counts();
        for (Cause cause :
                new Cause[] {Cause.MALFORMED, Cause.IMPOSSIBLE, Cause.CLOCK_OFF, Cause.CLASH, Cause.TOO_MANY}) {
            assertTrue(counts.of(cause) > 100, () -> counts.all().toString());
        }
    }
}
