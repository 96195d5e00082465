package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.fleet;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ClientGone;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.SettingsChanged;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.opentest4j.AssertionFailedError;

/** Edge cases: no backend and one, values of zero, overflowing counts, and events far apart or at the same time. */
class EdgeCaseTest {
    private static final RequestClass REPEATABLE = requestClass(Effect.REPEATABLE, KeyScope.ALL);
    private long nextRequest = 1;

    private static Backend[] startedAt(long at, Backend... fleet) {
        return Arrays.stream(fleet)
                .map(b -> Fixture.with(b, BackendState.READY, at))
                .toArray(Backend[]::new);
    }

    private String sendAndEnd(Fixture fixture, Outcome outcome, long elapsed) {
        return fixture.sendAndEnd(nextRequest++, outcome, elapsed);
    }

    private Fixture steady(int backends) {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(backends));
        for (int i = 0; i < 40 * backends; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        return fixture;
    }

    private static void mustBeFinite(DefaultBalancer balancer) {
        for (TrackedBackend backend : balancer.state().backends.values()) {
            double effective = balancer.estimates().effective(backend, false);
            assertTrue(
                    Double.isFinite(backend.speed)
                            && backend.speed >= 0
                            && Double.isFinite(effective)
                            && effective > 0
                            && Double.isFinite(backend.allowance),
                    () -> backend.id + " " + backend.speed + " " + backend.allowance);
        }
        for (ClassStats stats : balancer.state().statsByName.values()) {
            assertTrue(
                    Double.isFinite(stats.latency)
                            && stats.latency >= 0
                            && Double.isFinite(stats.baseLatency)
                            && stats.answers >= 0
                            && stats.usualTimeLeftVotes >= 0,
                    () -> stats.latency + " " + stats.baseLatency + " " + stats.answers + " "
                            + stats.usualTimeLeftVotes);
        }
        BalancerState state = balancer.state();
        for (double value : new double[] {
            state.openLimit, state.typicalSpeed, state.warmAnswerRate, state.answerRate, state.retryTokens
        }) {
            assertTrue(Double.isFinite(value) && value >= 0, () -> "" + value);
        }
    }

    /** An objective of 0 and an answer in no time must not make the share of queueing NaN for good. */
    @Test
    void objectiveOfZeroKeepsAdmissionWorking() {
        RequestClass none = new RequestClass("c", Effect.REPEATABLE, KeyScope.ALL, 0, 0, 4 * SECOND, 1, 0.5, false);
        Fixture fixture = new Fixture(settings(List.of(none), Fixture.LIMITS)).list(fleet(3));
        sendAndEnd(fixture, Outcome.OK, 0);
        for (int i = 0; i < 80; i++) {
            sendAndEnd(fixture, Outcome.OK, 3 * SECOND);
        }
        assertTrue(
                fixture.balancer.state().openLimit < 100,
                "the limit still follows answers: " + fixture.balancer.state().openLimit);
    }

    /** State of another process or clock: an estimate from the future counts as one made at this moment. */
    @Test
    void estimateFromTheFutureCountsAsPresent() {
        Fixture fixture = steady(2);
        TrackedBackend backend = fixture.balancer.state().backends.get("b0");
        backend.speed = 0.5;
        for (long ahead : new long[] {1, SECOND, 100 * SECOND, 100_000 * SECOND}) {
            backend.sampledAt = fixture.now + ahead;
            assertEquals(0.5, fixture.balancer.estimates().effective(backend, false), 1e-9, "ahead by " + ahead);
        }
    }

    /**
     * Known fault: a backend that failed and was not sampled for a while has regained speed with time, and a good
     * answer lowers it again. This test fails as soon as the fault is fixed.
     */
    @Test
    void goodAnswerAfterAPauseLowersTheSpeed() {
        assertThrows(
                AssertionFailedError.class,
                this::goodAnswerAfterAPause,
                "the fault is fixed: call the method without assertThrows");
    }

    private void goodAnswerAfterAPause() {
        Fixture fixture = steady(4);
        TrackedBackend backend = fixture.balancer.state().backends.get("b0");
        backend.speed = 0;
        fixture.now += 40 * SECOND;
        for (fixture.arrive(nextRequest++, 4 * SECOND);
                !fixture.lastBackend().equals("b0");
                fixture.arrive(nextRequest++, 4 * SECOND)) {
            fixture.now += 100_000;
            fixture.outcome(0, Outcome.OK, 100_000);
        }
        fixture.now += 100_000;
        double before = fixture.balancer.estimates().effective(backend, false) * (1 + Estimates.PENDING_DISCOUNT);
        fixture.outcome(0, Outcome.OK, 100_000);
        assertTrue(
                fixture.balancer.estimates().effective(backend, false) >= before,
                before + " became " + fixture.balancer.estimates().effective(backend, false));
    }

    /** Counts that only grow must not overflow, since nothing resets them in service. */
    @Test
    void countsDoNotOverflow() {
        Fixture fixture = steady(1);
        ClassStats stats = fixture.balancer.state().statsByName.get("c");
        for (int count : new int[] {Integer.MAX_VALUE, -1, Integer.MIN_VALUE}) {
            stats.answers = Math.max(stats.answers, count);
            stats.usualTimeLeftVotes = Math.max(stats.usualTimeLeftVotes, count);
            sendAndEnd(fixture, Outcome.OK, 100_000);
            sendAndEnd(fixture, Outcome.OK, 100_000);
            mustBeFinite(fixture.balancer);
            assertEquals(100_000, stats.latency, 1);
        }
        Fixture subscriber = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS, true, 0, 1));
        subscriber.list(ListKind.RESTORED, fleet(1));
        for (int i = 0; i < 100; i++) {
            subscriber.list(ListKind.UNAVAILABLE);
        }
        subscriber.timers.forEach(
                timer -> assertTrue(timer.at() - subscriber.now <= Fixture.RULES.listRefreshInterval() / 2 + 1));
    }

    /** Where all backends are cold, nothing shows what warm ones bear, but requests must still be served. */
    @Test
    void tierOfOnlyColdBackendsIsServedWithinTheBudget() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL);
        long from = fixture.now;
        fixture.list(startedAt(from, fleet(6)));
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            int before = fixture.sent.size();
            fixture.arrive(nextRequest++, SECOND / 10);
            fixture.advanceTo(fixture.now + 20_000);
            if (fixture.sent.size() > before) {
                sent.merge(fixture.lastBackend(), 1, Integer::sum);
                fixture.outcome(0, Outcome.OK, 20_000);
            }
        }
        // Each backend's part of the load times the rule's multiple and the used share, with the warmth at the end.
        double age = Math.min(1, (fixture.now - from) / (double) Fixture.RULES.warmUp());
        double most = 400 / 6.0 * 3 * 0.5 * (0.2 + 0.8 * age);
        assertEquals(6, sent.size(), "backends that got a request");
        sent.forEach((id, n) -> assertTrue(n >= 3 && n <= most, id + " got " + n + " of " + most));
    }

    /** Speeds are relative to the best and not to the mean: slow backends do not change the shares of two fast ones. */
    @Test
    void sharesOfFastBackendsDoNotDependOnSlowOnes() {
        Fixture fixture = steady(6);
        Map<String, Integer> sends = new HashMap<>();
        for (int i = 0; i < 6000; i++) {
            fixture.balancer.state().backends.values().forEach(backend -> {
                backend.speed = backend.id.equals("b0") ? 1.6 : backend.id.equals("b1") ? 1.5 : 0.3;
                backend.sampledAt = fixture.now + 100_000;
            });
            sends.merge(sendAndEnd(fixture, Outcome.OK, 100_000), 1, Integer::sum);
        }
        double expected = Math.exp((1.5 / 1.6 - 1) / 0.07);
        assertEquals(expected, sends.get("b1") / (double) sends.get("b0"), 0.04);
    }

    /**
     * A client goes and its attempt ends later: the open requests fall by one and not by two, or the limit would never
     * be reached again.
     */
    @Test
    void endedRequestIsCountedOnce() {
        Fixture fixture = steady(3);
        for (int i = 0; i < 50; i++) {
            fixture.arrive(nextRequest, 4 * SECOND);
            fixture.on(new ClientGone(nextRequest++));
            fixture.outcome(0, Outcome.CANCELLED, 0);
        }
        fixture.balancer.state().openLimit = 8;
        for (int i = 0; i < 20; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
        }
        assertTrue(
                fixture.actions.stream().filter(s -> s.startsWith("refuse")).count() >= 10, "refused over the limit");
    }

    /** A timer that was started before an attempt and expires while it is pending sends no second copy. */
    @Test
    void timerDuringAPendingAttemptSendsNoCopy() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list();
        fixture.arrive(1, 4 * SECOND);
        Balancer.Timer held = fixture.timers.get(fixture.timers.size() - 1).timer();
        fixture.list(fleet(3));
        fixture.on(held);
        fixture.on(held);
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void noBackendThenOneThenAllAtTheLowestSpeed() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list();
        fixture.arrive(1, SECOND);
        assertTrue(fixture.sent.isEmpty());
        fixture.list(fleet(1));
        fixture.advanceTo(fixture.now + 100_000);
        assertEquals(1, fixture.sent.size());
        fixture.outcome(0, Outcome.OK, 100_000);
        fixture.list();
        fixture.list(fleet(5));
        nextRequest = 2;
        for (int i = 0; i < 400; i++) {
            sendAndEnd(fixture, Outcome.ERROR, 10_000);
        }
        mustBeFinite(fixture.balancer);
        Set<String> called = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            fixture.now += SECOND;
            called.add(sendAndEnd(fixture, Outcome.OK, 100_000));
        }
        assertEquals(5, called.size(), "each backend is used again");
    }

    /** Any order of events at any times: no exception, all numbers finite, and one end for each request. */
    @Property(tries = 150, seed = "20261201")
    void anyOrderKeepsAllNumbersFinite(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Random random = new Random(seed);
        List<RequestClass> classes = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            classes.add(new RequestClass(
                    effect.name(),
                    effect,
                    KeyScope.ALL,
                    random.nextInt(2) * SECOND,
                    random.nextInt(3) * 500_000,
                    1 + random.nextInt(4) * SECOND,
                    random.nextInt(3),
                    random.nextInt(2),
                    false));
        }
        Settings first =
                settings(classes, Fixture.LIMITS, random.nextBoolean(), random.nextInt(9), 1 + random.nextInt(40));
        Fixture fixture = new Fixture(first);
        Map<Long, Integer> ends = new HashMap<>();
        for (int i = 0; i < 250; i++) {
            fixture.now += switch (random.nextInt(12)) {
                case 0 -> 0;
                case 1 -> random.nextInt(100) * 1000 * SECOND;
                default -> random.nextInt(200_000);
            };
            fixture.advanceTo(fixture.now);
            switch (random.nextInt(10)) {
                case 0 ->
                    fixture.list(
                            random.nextBoolean() ? ListKind.FULL : ListKind.UNAVAILABLE,
                            startedAt(random.nextBoolean() ? 0 : fixture.now, fleet(random.nextInt(16))));
                case 1 -> {
                    classes.add(new RequestClass("new" + i, Effect.REPEATABLE, KeyScope.ALL, 0, 1, 1, 1, 0, false));
                    fixture.on(new SettingsChanged(settings(classes, Fixture.LIMITS)));
                }
                case 2 -> fixture.on(new ClientGone(random.nextInt((int) nextRequest)));
                case 3, 4, 5, 6 ->
                    fixture.on(new Arrival(
                            nextRequest++,
                            random.nextInt(classes.size()),
                            -1,
                            null,
                            new long[] {0, 1, 1000, SECOND, 3_600 * SECOND}[random.nextInt(5)],
                            random.nextBoolean()));
                default -> end(fixture, random);
            }
            mustBeFinite(fixture.balancer);
        }
        fixture.advanceTo(fixture.now + 7200 * SECOND);
        for (String said : fixture.actions) {
            if (said.startsWith("refuse") || said.startsWith("fail")) {
                ends.merge(Long.parseLong(said.split(" ")[1]), 1, Integer::sum);
            }
        }
        ends.forEach((id, n) -> assertEquals(1, n, "ends of " + id));
    }

    /** Ends the oldest pending attempt of the first backend that has one. */
    private static void end(Fixture fixture, Random random) {
        for (TrackedBackend backend : fixture.balancer.state().backends.values()) {
            if (backend.oldest != null) {
                Outcome[] all = Outcome.values();
                Outcome outcome = all[random.nextInt(all.length)];
                fixture.on(new AttemptEnded(
                        backend.oldest.request.id,
                        backend.oldest.number,
                        backend.id,
                        outcome == Outcome.OK,
                        outcome,
                        random.nextInt(3) * (fixture.now - backend.oldest.sentAt),
                        null));
                return;
            }
        }
    }

    /**
     * Pending attempts crowd every healthy backend, so that none seems to be in time. The backend that fails at once
     * has no pending attempts and must not get the requests.
     */
    @Test
    void failingBackendGetsNothingWhenTheOthersAreCrowded() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 40; i++) {
            fixture.sendAndEnd(i + 1, Outcome.OK, 100_000);
        }
        fixture.balancer
                .state()
                .backends
                .values()
                .forEach(backend -> backend.speed = backend.id.equals("b0") ? 0.02 : 1);
        fixture.sent.clear();
        for (int i = 0; i < 30; i++) {
            fixture.arrive(100 + i, 120_000);
        }
        Map<String, Long> sends =
                fixture.sent.stream().collect(Collectors.groupingBy(Fixture.Sent::backend, Collectors.counting()));
        assertEquals(Map.of("b1", 10L, "b2", 10L, "b3", 10L), sends);
    }

    /** Queueing that takes a third of the slack between 100 ms and the objective of 1 s lowers the limit. */
    @Test
    void limitFallsBeforeQueueingTakesAThirdOfTheSlack() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 100; i++) {
            fixture.sendAndEnd(i + 1, Outcome.OK, i < 40 ? 100_000 : 410_000);
        }
        assertTrue(fixture.balancer.state().openLimit < 1000, "limit " + fixture.balancer.state().openLimit);
    }

    /**
     * Pending attempts alone make the headroom look small: the next requests are spread, and not sent to one backend as
     * by the walk.
     */
    @Test
    void pendingAttemptsDoNotStartTheWalk() {
        Fixture fixture = steady(4);
        fixture.balancer.state().backends.values().forEach(backend -> backend.speed = 1);
        for (int i = 0; i < 140; i++) {
            fixture.arrive(100 + i, 2_500_000);
        }
        int most = fixture.balancer.state().backends.values().stream()
                .mapToInt(s -> s.pending)
                .max()
                .orElseThrow();
        assertTrue(most <= 37, most + " of 140 pending at one of four equal backends");
    }
}
