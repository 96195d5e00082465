package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.Counts.Cause;
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

class LedgerTest {
    private static final long S = 1_000_000;
    private static final Subject ONE = new Subject("s1", 1, "a", "");

    /** A session: when it began and how long it took (in 100 ms). */
    record Session(int at, int took) {}

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
     * Each session within its deadline is in exactly one closed window, its own; one past it is counted as late; no
     * window is told with one still open.
     */
    @Property(tries = 300, seed = "3")
    void eachOutcomeOnceInItsWindow(@ForAll("sessions") List<Session> sessions) {
        Ledger ledger = new Ledger(Windows.USUAL, 3 * S);
        Map<Session, Long> open = new HashMap<>();
        Map<Long, Long> told = new HashMap<>();
        Map<Long, Long> expected = new HashMap<>();
        List<Session> late = new ArrayList<>();
        List<Session> distinct = sessions.stream().distinct().toList();
        for (long tick = 0; tick < 200; tick++) {
            long now = tick * 100_000;
            for (Session session : distinct) {
                if (session.at == tick) {
                    open.put(session, ledger.assign(now));
                    assertEquals(now / (2 * S), open.get(session));
                }
                if (session.at + session.took == tick) {
                    long window = open.remove(session);
                    if (told.containsKey(window)) {
                        late.add(session);
                    } else {
                        expected.merge(window, 1L, Long::sum);
                    }
                    ledger.count(window, ONE, End.IN_AIM, 0.1);
                    ledger.over(window);
                }
            }
            for (Closed closed : ledger.close(now)) {
                assertTrue(told.put(closed.window(), closed.tallies().get(ONE).total()) == null, "told twice");
                open.forEach((session, window) ->
                        assertTrue(window != closed.window() || now >= (closed.window() + 1) * 2 * S + 3 * S));
            }
        }
        // A window of which all passed their deadline is told of as nothing: what ended after that is late as well.
        expected.keySet().removeIf(w -> !told.containsKey(w));
        assertEquals(expected, told);
        assertTrue(ledger.counts().of(Cause.LATE) >= late.size());
        assertEquals(
                distinct.size(),
                told.values().stream().mapToLong(Long::longValue).sum()
                        + ledger.counts().of(Cause.LATE));
        assertEquals(0, ledger.open());
    }

    @Example
    void aSlowSuccessHoldsBackTheQuickFailures() {
        Ledger ledger = new Ledger(Windows.USUAL, 10 * S);
        long window = ledger.assign(0);
        ledger.assign(0);
        ledger.count(window, ONE, End.ERROR, Double.NaN);
        ledger.over(window);
        assertEquals(List.of(), ledger.close(5 * S));
        ledger.count(window, ONE, End.IN_AIM, Math.log(5000));
        ledger.over(window);
        Tally whole = Tally.of(End.ERROR, Double.NaN).plus(Tally.of(End.IN_AIM, Math.log(1000)));
        assertEquals(List.of(new Closed(window, Map.of(ONE, whole))), ledger.close(5 * S));
        assertEquals(1, ledger.counts().of(Cause.OUT_OF_RANGE));
        assertEquals(window + 1, ledger.assign(0), "a window that was told stays as it was");
    }

    @Example
    void outcomesOfATimeThatIsYetToComeAreDropped() {
        Ledger ledger = new Ledger(Windows.USUAL, S);
        long window = ledger.assign(3600 * S);
        ledger.count(window, ONE, End.IN_AIM, 0);
        ledger.over(window);
        assertEquals(List.of(), ledger.close(10 * S));
        assertEquals(List.of(), ledger.close(3700 * S));
        assertEquals(1, ledger.counts().of(Cause.CLOCK_OFF));
    }

    @Example
    void subjectsAreBounded() {
        Ledger ledger = new Ledger(Windows.USUAL, S);
        long window = ledger.assign(0);
        for (int i = 0; i < 2000; i++) {
            ledger.count(window, new Subject("s" + i, 1, "a", ""), End.FULL, Double.NaN);
        }
        assertEquals(2000 - Limits.USUAL.subjects(), ledger.counts().of(Cause.TOO_MANY));
        assertEquals(
                Limits.USUAL.subjects(), ledger.close(4 * S).get(0).tallies().size());
    }
}
