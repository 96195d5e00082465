package calicochute.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.experiment.Experiment.Measure;
import calicochute.experiment.Experiment.Unit;
import calicochute.experiment.Teller.Ticket;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TellerTest {
    private static final long S = 1_000_000;
    private double share = 0.5;

    private Teller teller(Unit unit, double most, int me) {
        Experiment e = new Experiment(
                "trial",
                "",
                unit,
                null,
                null,
                0.5,
                Set.of("order-copy"),
                Set.of(),
                new Measure(most, 0.95),
                0.02,
                0.05,
                List.of(),
                Duration.ofMinutes(2),
                null);
        return new Teller(e, me, 3, 0, 0, 2 * S, window -> share);
    }

    private static Sums all(Counts counts) {
        return counts.cells().values().stream().reduce(Sums.NONE, Sums::plus);
    }

    @Test
    void aWindowClosesOnceAllItsSessionsEndedOrPassedTheirDeadline() {
        Teller t = teller(Unit.SESSION, 0, 0);
        Ticket served = t.begin(S, 30 * S, "a", "order-copy", "t1", false);
        Ticket lost = t.begin(S, 9 * S, "b", "order-copy", "t1", false);
        assertNull(t.begin(S, 9 * S, "c", "shelf-read", "t1", false));
        t.over(served, 2, 1, false, true, "s1");
        assertTrue(t.close(8 * S).isEmpty());
        List<Counts> closed = t.close(9 * S);
        assertEquals(
                List.of(0L, 1L, 2L, 3L), closed.stream().map(Counts::window).toList());
        assertEquals(new Sums(2, 512, 512 * 512, 1024, 1, 0), all(closed.get(0)));
        assertTrue(closed.get(1).cells().isEmpty());
        t.over(lost, 1, 1, false, false, "s1");
        assertEquals(1, t.late());
        assertFalse(t.begin(S, 30 * S, "d", "order-copy", "t1", false).counted());
        assertEquals(1, t.refused());
    }

    /** A share heard of within a window would split it in two that no one share fits. */
    @Test
    void theShareMovesBetweenWindowsOnly() {
        Teller t = teller(Unit.SESSION, 0, 0);
        share = 0;
        t.begin(S, 9 * S, "a", "order-copy", "t1", false);
        share = 1;
        assertEquals(
                Arm.CONTROL, t.begin(S, 9 * S, "b", "order-copy", "t1", false).arm());
        assertEquals(
                Arm.TREATMENT,
                t.begin(3 * S, 9 * S, "c", "order-copy", "t1", false).arm());
        assertEquals(
                List.of(0.0, 1.0),
                t.close(60 * S).stream().limit(2).map(Counts::share).toList());
    }

    @Test
    void retriesStayInTheArmAndAreNotCounted() {
        Teller t = teller(Unit.SESSION, 0, 0);
        for (int i = 0; i < 50; i++) {
            Ticket first = t.begin(S, 9 * S, "call" + i, "order-copy", "t1", false);
            Ticket again = t.begin(S, 9 * S, "call" + i, "order-copy", "t1", false);
            Ticket marked = t.begin(S, 9 * S, "elsewhere" + i, "order-copy", "t1", true);
            assertEquals(first.arm(), again.arm());
            assertFalse(again.counted() || marked.counted());
        }
        Sums sums = all(t.close(60 * S).get(0));
        assertEquals(50, sums.n());
        assertEquals(100, sums.repeats());
    }

    @Test
    void aSessionCountsByItsWorthUpToTheBound() {
        Teller t = teller(Unit.SESSION, 10, 0);
        t.over(t.begin(S, 9 * S, "a", "order-copy", "t1", false), 1000, 1000, false, false, "s1");
        t.over(t.begin(S, 9 * S, "b", "order-copy", "t1", false), 5, 5, false, false, "s1");
        t.over(t.begin(S, 9 * S, "c", "order-copy", "t1", false), 1000, 0, true, false, "");
        Counts counts = t.close(60 * S).get(0);
        assertEquals(new Sums(3, 1536, 1024 * 1024 + 512 * 512, 1024, 0, 0), all(counts));
        assertEquals(2005, counts.asked());
        assertEquals(1980, counts.cut());
    }

    @Test
    void theBoundIsAQuantileOfWorthsSeenBefore() {
        assertEquals(
                new Measure(9, 0.9), Measure.at(0.9, List.of(3.0, 1.0, 2.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 1000.0)));
    }

    /** One draw is one observation, however many sessions and windows. */
    @Test
    void aTenantIsCountedOnceInAllWindowsAndAtAllBalancers() {
        Set<Long> windows = new HashSet<>();
        long tenants = 0;
        for (int me = 0; me < 3; me++) {
            Teller t = teller(Unit.TENANT, 0, me);
            for (long window = 0; window < 60; window++) {
                for (int tenant = 0; tenant < 40; tenant++) {
                    for (int i = 0; i < 3; i++) {
                        Ticket ticket =
                                t.begin(window * 2 * S, window * 2 * S + S, "c", "order-copy", "t" + tenant, false);
                        assertEquals(
                                Assignment.of(teller(Unit.TENANT, 0, 0).experiment(), "t" + tenant, 0.5), ticket.arm());
                        t.over(ticket, 1, i == 0 ? 0 : 1, i == 0, false, "s1");
                    }
                }
            }
            for (Counts counts : t.close(120 * S)) {
                Sums sums = all(counts);
                tenants += sums.n();
                assertEquals(sums.n() * 683, sums.sum());
                if (sums.n() > 0) {
                    windows.add(counts.window());
                }
            }
        }
        assertEquals(40, tenants);
        assertTrue(windows.size() > 20, "spread over the windows: " + windows.size());
    }
}
