package calicochute.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.experiment.Experiment.Measure;
import calicochute.experiment.Experiment.Unit;
import calicochute.experiment.SessionCounter.Enrollment;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each unit must be counted once, in the window and arm that it was assigned to. */
class SessionCounterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private double share = 0.5;

    private SessionCounter counter(Unit unit, double cap, int selfIndex) {
        Experiment experiment = new Experiment(
                "trial",
                "",
                unit,
                null,
                null,
                0.5,
                Set.of("order-copy"),
                Set.of(),
                new Measure(cap, 0.95),
                0.02,
                0.05,
                List.of(),
                Duration.ofMinutes(2),
                null);
        return new SessionCounter(experiment, selfIndex, 3, 0, 0, 2 * SECOND_MICROS, window -> share);
    }

    private static Sums total(Counts counts) {
        return counts.byArmLane().values().stream().reduce(Sums.ZERO, Sums::plus);
    }

    @Test
    void windowClosesWhenSessionsEndedOrPassedTheirDeadline() {
        SessionCounter counter = counter(Unit.SESSION, 0, 0);
        Enrollment served = counter.begin(SECOND_MICROS, 30 * SECOND_MICROS, "a", "order-copy", "t1", false);
        Enrollment unfinished = counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "b", "order-copy", "t1", false);
        assertNull(counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "c", "shelf-read", "t1", false));
        counter.end(served, 2, 1, false, true, "s1");
        assertTrue(counter.closeWindows(8 * SECOND_MICROS).isEmpty());
        List<Counts> closed = counter.closeWindows(9 * SECOND_MICROS);
        assertEquals(
                List.of(0L, 1L, 2L, 3L), closed.stream().map(Counts::window).toList());
        assertEquals(new Sums(2, 512, 512 * 512, 1024, 1, 0), total(closed.get(0)));
        assertTrue(closed.get(1).byArmLane().isEmpty());
        counter.end(unfinished, 1, 1, false, false, "s1");
        assertEquals(1, counter.lateSessions());
        assertFalse(counter.begin(SECOND_MICROS, 30 * SECOND_MICROS, "d", "order-copy", "t1", false)
                .counted());
        assertEquals(1, counter.uncountedSessions());
    }

    /**
     * A share that changed within a window would assign its sessions by two shares, and neither would fit the counts.
     */
    @Test
    void shareChangesOnlyBetweenWindows() {
        SessionCounter counter = counter(Unit.SESSION, 0, 0);
        share = 0;
        counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "a", "order-copy", "t1", false);
        share = 1;
        assertEquals(
                Arm.CONTROL,
                counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "b", "order-copy", "t1", false)
                        .arm());
        assertEquals(
                Arm.TREATMENT,
                counter.begin(3 * SECOND_MICROS, 9 * SECOND_MICROS, "c", "order-copy", "t1", false)
                        .arm());
        assertEquals(
                List.of(0.0, 1.0),
                counter.closeWindows(60 * SECOND_MICROS).stream()
                        .limit(2)
                        .map(Counts::share)
                        .toList());
    }

    @Test
    void retriesKeepTheArmAndAreNotCounted() {
        SessionCounter counter = counter(Unit.SESSION, 0, 0);
        for (int i = 0; i < 50; i++) {
            Enrollment first = counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "call" + i, "order-copy", "t1", false);
            Enrollment repeated =
                    counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "call" + i, "order-copy", "t1", false);
            Enrollment marked =
                    counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "elsewhere" + i, "order-copy", "t1", true);
            assertEquals(first.arm(), repeated.arm());
            assertFalse(repeated.counted() || marked.counted());
        }
        Sums sums = total(counter.closeWindows(60 * SECOND_MICROS).get(0));
        assertEquals(50, sums.count());
        assertEquals(100, sums.retries());
    }

    @Test
    void worthIsCappedPerSession() {
        SessionCounter counter = counter(Unit.SESSION, 10, 0);
        counter.end(
                counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "a", "order-copy", "t1", false),
                1000,
                1000,
                false,
                false,
                "s1");
        counter.end(
                counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "b", "order-copy", "t1", false),
                5,
                5,
                false,
                false,
                "s1");
        counter.end(
                counter.begin(SECOND_MICROS, 9 * SECOND_MICROS, "c", "order-copy", "t1", false),
                1000,
                0,
                true,
                false,
                "");
        Counts counts = counter.closeWindows(60 * SECOND_MICROS).get(0);
        assertEquals(new Sums(3, 1536, 1024 * 1024 + 512 * 512, 1024, 0, 0), total(counts));
        assertEquals(2005, counts.worthRequested());
        assertEquals(1980, counts.worthAboveCap());
    }

    @Test
    void capIsAQuantileOfEarlierWorths() {
        assertEquals(
                new Measure(9, 0.9),
                Measure.atQuantile(0.9, List.of(3.0, 1.0, 2.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 1000.0)));
    }

    /** A tenant is one observation, regardless of its number of sessions and windows. */
    @Test
    void tenantIsCountedOnceAcrossWindowsAndBalancers() {
        Set<Long> windows = new HashSet<>();
        long tenants = 0;
        for (int selfIndex = 0; selfIndex < 3; selfIndex++) {
            SessionCounter counter = counter(Unit.TENANT, 0, selfIndex);
            for (long window = 0; window < 60; window++) {
                for (int tenant = 0; tenant < 40; tenant++) {
                    for (int i = 0; i < 3; i++) {
                        Enrollment enrollment = counter.begin(
                                window * 2 * SECOND_MICROS,
                                window * 2 * SECOND_MICROS + SECOND_MICROS,
                                "c",
                                "order-copy",
                                "t" + tenant,
                                false);
                        assertEquals(
                                Assignment.of(counter(Unit.TENANT, 0, 0).experiment(), "t" + tenant, 0.5),
                                enrollment.arm());
                        counter.end(enrollment, 1, i == 0 ? 0 : 1, i == 0, false, "s1");
                    }
                }
            }
            for (Counts counts : counter.closeWindows(120 * SECOND_MICROS)) {
                Sums sums = total(counts);
                tenants += sums.count();
                assertEquals(sums.count() * 683, sums.sum());
                if (sums.count() > 0) {
                    windows.add(counts.window());
                }
            }
        }
        assertEquals(40, tenants);
        assertTrue(windows.size() > 20, "tenants are spread over the windows: " + windows.size());
    }
}
