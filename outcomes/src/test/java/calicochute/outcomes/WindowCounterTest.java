package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class WindowCounterTest {
    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;

    private static final OutcomeKey KEY = new OutcomeKey("s1", 1, "a", "");

    /** When a session began and how long it took, in ticks of 100 ms. */
    record Session(int beginTick, int ticks) {}

    @Provide
    Arbitrary<List<Session>> sessions() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 100),
                        Arbitraries.integers().between(1, 60))
                .as(Session::new)
                .list()
                .ofMaxSize(40);
    }

    /**
     * Each session that ends within its deadline is in exactly one closed window, the one in which it began. One that
     * ends later is counted as late. No window is closed while a session of it is open and within its deadline.
     */
    @Property(tries = 300, seed = "3")
    void eachSessionCountsOnceInItsWindow(@ForAll("sessions") List<Session> sessions) {
        WindowCounter counter = new WindowCounter(Windows.DEFAULT, 3 * SECOND);
        Map<Session, Long> open = new HashMap<>();
        Map<Long, Long> reported = new HashMap<>();
        Map<Long, Long> expected = new HashMap<>();
        List<Session> late = new ArrayList<>();
        List<Session> distinct = sessions.stream().distinct().toList();
        for (long tick = 0; tick < 200; tick++) {
            long now = tick * 100_000;
            for (Session session : distinct) {
                if (session.beginTick == tick) {
                    open.put(session, counter.beginSession(now));
                    assertEquals(now / (2 * SECOND), open.get(session));
                }
                if (session.beginTick + session.ticks == tick) {
                    long window = open.remove(session);
                    if (reported.containsKey(window)) {
                        late.add(session);
                    } else {
                        expected.merge(window, 1L, Long::sum);
                    }
                    counter.record(window, KEY, DispatchResult.WITHIN_OBJECTIVE, 0.1);
                    counter.endSession(window);
                }
            }
            for (ClosedWindow closed : counter.close(now)) {
                assertTrue(
                        reported.put(closed.window(), closed.tallies().get(KEY).total()) == null,
                        "window closed twice");
                open.forEach((session, window) -> assertTrue(
                        window != closed.window() || now >= (closed.window() + 1) * 2 * SECOND + 3 * SECOND));
            }
        }
        // A window closed without a dispatch is not reported, so sessions that ended after it count as late, too.
        expected.keySet().removeIf(w -> !reported.containsKey(w));
        assertEquals(expected, reported);
        assertTrue(counter.counts().of(Cause.LATE) >= late.size());
        assertEquals(
                distinct.size(),
                reported.values().stream().mapToLong(Long::longValue).sum()
                        + counter.counts().of(Cause.LATE));
        assertEquals(0, counter.openWindows());
    }

    @Example
    void aWindowStaysOpenUntilItsSlowSessionEnds() {
        WindowCounter counter = new WindowCounter(Windows.DEFAULT, 10 * SECOND);
        long window = counter.beginSession(0);
        counter.beginSession(0);
        counter.record(window, KEY, DispatchResult.ERROR, Double.NaN);
        counter.endSession(window);
        assertEquals(List.of(), counter.close(5 * SECOND));
        counter.record(window, KEY, DispatchResult.WITHIN_OBJECTIVE, Math.log(5000));
        counter.endSession(window);
        Tally whole = Tally.of(DispatchResult.ERROR, Double.NaN)
                .plus(Tally.of(DispatchResult.WITHIN_OBJECTIVE, Math.log(1000)));
        assertEquals(List.of(new ClosedWindow(window, Map.of(KEY, whole))), counter.close(5 * SECOND));
        assertEquals(1, counter.counts().of(Cause.OUT_OF_RANGE));
        assertEquals(window + 1, counter.beginSession(0), "a closed window takes no more sessions");
    }

    @Example
    void outcomesOfAFutureWindowAreDropped() {
        WindowCounter counter = new WindowCounter(Windows.DEFAULT, SECOND);
        long window = counter.beginSession(3600 * SECOND);
        counter.record(window, KEY, DispatchResult.WITHIN_OBJECTIVE, 0);
        counter.endSession(window);
        assertEquals(List.of(), counter.close(10 * SECOND));
        assertEquals(List.of(), counter.close(3700 * SECOND));
        assertEquals(1, counter.counts().of(Cause.CLOCK_OFF));
    }

    @Example
    void keysAreBounded() {
        WindowCounter counter = new WindowCounter(Windows.DEFAULT, SECOND);
        long window = counter.beginSession(0);
        for (int i = 0; i < 2000; i++) {
            counter.record(window, new OutcomeKey("s" + i, 1, "a", ""), DispatchResult.FULL, Double.NaN);
        }
        assertEquals(2000 - Limits.DEFAULT.maxKeys(), counter.counts().of(Cause.TOO_MANY));
        assertEquals(
                Limits.DEFAULT.maxKeys(),
                counter.close(4 * SECOND).get(0).tallies().size());
    }
}
