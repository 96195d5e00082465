package calicochute.bandit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.AggregateRow;
import calicochute.outcomes.DispatchResult;
import calicochute.outcomes.OutcomeKey;
import calicochute.outcomes.Snapshots;
import calicochute.outcomes.Tally;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class BanditTest {
    /** Length of a window in microseconds. */
    private static final long WINDOW = 2_000_000;
    /** Time in microseconds. */
    private static final long NOW = 104 * WINDOW;

    private static final int SERVERS = 12;

    /** What one reporter counts at a server in a window; null for nothing. */
    private interface Reports {
        Tally of(long window, int server, int reporter);
    }

    private static Tally tally(int count, DispatchResult result, double logSpeed) {
        Tally sum = Tally.EMPTY;
        for (int i = 0; i < count; i++) {
            sum = sum.plus(Tally.of(result, logSpeed));
        }
        return sum;
    }

    /** Two answers for each reporter, with noise that depends only on window, server and reporter. */
    private static Tally usual(long window, int server, int reporter) {
        SplittableRandom random = new SplittableRandom(window * 1_000_003 + server * 1009 + reporter);
        return Tally.of(DispatchResult.WITHIN_OBJECTIVE, random.nextGaussian() / 2)
                .plus(Tally.of(DispatchResult.WITHIN_OBJECTIVE, random.nextGaussian() / 2));
    }

    private static List<AggregateRow> rows(long from, long last, int reporters, Reports reports) {
        List<AggregateRow> rows = new ArrayList<>();
        for (long window = from; window <= last; window++) {
            for (int server = 0; server < SERVERS; server++) {
                List<Tally> tallies = new ArrayList<>();
                for (int i = 0; i < reporters; i++) {
                    Tally tally = reports.of(window, server, i);
                    if (tally != null) {
                        tallies.add(tally);
                    }
                }
                if (!tallies.isEmpty()) {
                    rows.add(Snapshots.row(new OutcomeKey("s" + server, 1, "lane", ""), window, tallies));
                }
            }
        }
        return rows;
    }

    private static List<ListedServer> listed(long startedAt) {
        List<ListedServer> list = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            list.add(new ListedServer("s" + server, startedAt, "kind", "z", 1, true));
        }
        return list;
    }

    private static Set<String> fleet(int balancers) {
        Set<String> live = new TreeSet<>();
        for (int i = 0; i < balancers; i++) {
            live.add("b" + i);
        }
        return live;
    }

    private static Bandit banditWith(String self, List<AggregateRow> rows) {
        Bandit bandit = new Bandit(BanditSettings.DEFAULT, self, 7);
        bandit.update(NOW, Snapshots.of(rows), fleet(100), listed(1));
        return bandit;
    }

    private static Map<String, Advice> adviceByServer(Bandit bandit, long now) {
        Map<String, Advice> byServer = new HashMap<>();
        bandit.advise(now).servers().forEach(a -> byServer.put(a.server(), a));
        return byServer;
    }

    /** Shares by the softmax of a reader with this many own samples, which differ a little from the advice. */
    private static double[] shares(Map<String, Advice> adviceByServer, double ownSamples) {
        double[] score = new double[SERVERS];
        double best = 0;
        for (int s = 0; s < SERVERS; s++) {
            Advice advice = adviceByServer.get("s" + s);
            double ownShare = ownSamples / (ownSamples + advice.worthSamples());
            score[s] = (1 + 0.02 * (s % 3)) * ownShare + advice.speed() * (1 - ownShare);
            best = Math.max(best, score[s]);
        }
        double sum = 0;
        for (int s = 0; s < SERVERS; s++) {
            sum += score[s] = Math.exp((score[s] / best - 1) / 0.04);
        }
        for (int s = 0; s < SERVERS; s++) {
            score[s] /= sum;
        }
        return score;
    }

    /** How much of the traffic these reports move, compared to those without reporter 99. */
    private static double movedShare(Reports reports, double ownSamples) {
        Reports without = (window, server, i) -> i == 99 ? null : usual(window, server, i);
        double[] before = shares(adviceByServer(banditWith("b1", rows(98, 102, 100, without)), NOW), ownSamples);
        double[] after = shares(adviceByServer(banditWith("b1", rows(98, 102, 100, reports)), NOW), ownSamples);
        double moved = 0;
        for (int s = 0; s < SERVERS; s++) {
            moved += Math.abs(before[s] - after[s]) / 2;
        }
        return moved;
    }

    @Test
    void oneFaultyReporterInAHundredMovesSharesByUnderTwoPercent() {
        Map<String, Reports> faulty = Map.of(
                "a third of the servers fail",
                        (window, server, i) -> i < 99
                                ? usual(window, server, i)
                                : server % 3 == 0
                                        ? tally(50, DispatchResult.CONNECT_FAILED, Double.NaN)
                                        : tally(2, DispatchResult.WITHIN_OBJECTIVE, 0),
                "a third of the servers are twenty times as fast",
                        (window, server, i) -> i < 99
                                ? usual(window, server, i)
                                : tally(50, DispatchResult.WITHIN_OBJECTIVE, server % 3 == 0 ? 3 : 0),
                "a third of the servers are twenty times as slow",
                        (window, server, i) -> i < 99
                                ? usual(window, server, i)
                                : tally(50, DispatchResult.LATE, server % 3 == 0 ? -3 : 0));
        faulty.forEach((what, reports) -> {
            for (double ownSamples : new double[] {0, 1, 12}) {
                double moved = movedShare(reports, ownSamples);
                assertTrue(moved < 0.02, what + ", " + ownSamples + " own samples: " + moved);
            }
        });
    }

    @Test
    void reportersThatAgreeAreTrustedAtOnceAndReportersThatDifferLess() {
        Bandit agreeing = banditWith(
                "b1",
                rows(
                        102,
                        102,
                        100,
                        (window, server, i) -> server == 5
                                ? tally(2, DispatchResult.WITHIN_OBJECTIVE, -1.6)
                                : usual(window, server, i)));
        Advice slow = adviceByServer(agreeing, NOW).get("s5");
        assertTrue(slow.unhealthy() && slow.speed() < 0.3 && slow.worthSamples() > 50, slow.toString());
        assertTrue(adviceByServer(agreeing, NOW).get("s4").worthSamples() > 50);
        Bandit differing = banditWith(
                "b1",
                rows(
                        102,
                        102,
                        100,
                        (window, server, i) -> server == 5 && i % 3 == 0
                                ? tally(2, DispatchResult.WITHIN_OBJECTIVE, -1.6)
                                : usual(window, server, i)));
        Advice slowPath = adviceByServer(differing, NOW).get("s5");
        assertTrue(!slowPath.unhealthy() && slowPath.worthSamples() < 5, slowPath.toString());
    }

    @Test
    void dispatchesBeyondWhatSpeedAccountsForAreCorrected() {
        Reports overloaded = (window, server, i) ->
                server == 3 ? usual(window, server, i).plus(usual(window, server, i)) : usual(window, server, i);
        double[] speeds = new double[2];
        for (int i = 0; i < 2; i++) {
            Bandit bandit = new Bandit(BanditSettings.DEFAULT, "b1", 7);
            for (long window = 98; window <= 102; window++) {
                bandit.update(
                        (window + 2) * WINDOW,
                        Snapshots.of(rows(window - 2, window, 20, i == 0 ? overloaded : BanditTest::usual)),
                        fleet(20),
                        listed(1));
            }
            speeds[i] = adviceByServer(bandit, NOW).get("s3").speed();
        }
        assertTrue(speeds[0] < speeds[1] - 0.01, speeds[0] + " " + speeds[1]);
    }

    private static Reports unreachable(int unreachable) {
        return (window, server, i) ->
                server == unreachable ? tally(2, DispatchResult.CONNECT_FAILED, Double.NaN) : usual(window, server, i);
    }

    /** Turns to try server 5 in four slots over the whole fleet, by balancer. */
    private static Map<String, Integer> turns(int balancers) {
        List<AggregateRow> rows = rows(100, 102, Math.min(balancers, 100), unreachable(5));
        Map<String, Integer> turns = new TreeMap<>();
        for (String balancer : fleet(balancers)) {
            Bandit bandit = new Bandit(BanditSettings.DEFAULT, balancer, 7);
            bandit.update(NOW, Snapshots.of(rows), fleet(balancers), listed(1));
            for (long slot = 0; slot < 4; slot++) {
                if (adviceByServer(bandit, NOW + slot * 500_000 + 1).get("s5").mayTry()) {
                    turns.merge(balancer, 1, Integer::sum);
                }
            }
        }
        return turns;
    }

    @Test
    void trialsDoNotGrowWithTheFleet() {
        for (int balancers : new int[] {30, 300}) {
            Map<String, Integer> turns = turns(balancers);
            assertEquals(4, turns.values().stream().mapToInt(Integer::intValue).sum());
            assertTrue(turns.size() >= 2, "one balancer has all turns: " + turns);
        }
    }

    @Test
    void aSlotOfAnOwnerThatLeavesGoesToAnotherBalancer() {
        for (long slot = 0; slot < 50; slot++) {
            Set<String> live = fleet(20);
            Set<String> owners = new HashSet<>();
            for (int round = 0; round < 2; round++) {
                for (String balancer : Set.copyOf(live)) {
                    TrialSchedule schedule = new TrialSchedule(balancer, 500_000);
                    schedule.setLive(live);
                    if (schedule.isMyTurn("s", slot * 500_000, 1, 1)) {
                        owners.add(balancer);
                    }
                }
                assertEquals(round + 1, owners.size());
                live.removeAll(owners);
            }
        }
    }

    @Test
    void aFewSuccessfulTrialsRestoreAServerAndAfterARelapseOnlyWithoutFailures() {
        Bandit bandit = banditWith("b1", rows(100, 102, 30, unreachable(5)));
        assertTrue(adviceByServer(bandit, NOW).get("s5").unhealthy());
        // The server recovers within the window: two trials failed and two were successful.
        Reports mixed = (window, server, i) -> server != 5
                ? usual(window, server, i)
                : i >= 4
                        ? null
                        : i < 2
                                ? Tally.of(DispatchResult.RESET, Double.NaN)
                                : Tally.of(DispatchResult.WITHIN_OBJECTIVE, 0);
        bandit.update(NOW + WINDOW, Snapshots.of(rows(103, 103, 30, mixed)), fleet(30), listed(1));
        Advice recovered = adviceByServer(bandit, NOW + WINDOW).get("s5");
        assertTrue(
                !recovered.unhealthy() && recovered.speed() > 0.93 && recovered.worthSamples() > 3,
                recovered.toString());
        bandit.update(NOW + 2 * WINDOW, Snapshots.of(rows(104, 104, 30, unreachable(5))), fleet(30), listed(1));
        assertTrue(adviceByServer(bandit, NOW + 2 * WINDOW).get("s5").unhealthy());
        bandit.update(NOW + 3 * WINDOW, Snapshots.of(rows(105, 105, 30, mixed)), fleet(30), listed(1));
        assertTrue(adviceByServer(bandit, NOW + 3 * WINDOW).get("s5").unhealthy());
        Reports successful = (window, server, i) ->
                server != 5 ? usual(window, server, i) : i < 4 ? Tally.of(DispatchResult.WITHIN_OBJECTIVE, 0) : null;
        bandit.update(NOW + 4 * WINDOW, Snapshots.of(rows(106, 106, 30, successful)), fleet(30), listed(1));
        assertFalse(adviceByServer(bandit, NOW + 4 * WINDOW).get("s5").unhealthy());
    }

    @Test
    void withoutFreshRowsThereIsNoAdvice() {
        Bandit bandit = banditWith("b1", rows(100, 102, 30, BanditTest::usual));
        assertEquals(SERVERS, bandit.advise(103 * WINDOW + 6_000_000).servers().size());
        FleetAdvice stale = bandit.advise(103 * WINDOW + 6_000_001);
        assertTrue(stale.servers().isEmpty() && stale.warmRate() == 0);
        assertEquals(0.01, stale.share());
    }

    @Test
    void aRestartDiscountsTheEstimate() {
        Bandit bandit = banditWith("b1", rows(100, 102, 30, BanditTest::usual));
        assertTrue(adviceByServer(bandit, NOW).get("s5").worthSamples() > 30);
        bandit.update(NOW, Snapshots.of(rows(100, 102, 30, BanditTest::usual)), fleet(30), listed(2));
        assertEquals(2, adviceByServer(bandit, NOW).get("s5").worthSamples());
    }

    @Test
    void theSameSeedGivesTheSameAdviceAndBalancersDiffer() {
        List<AggregateRow> rows = rows(100, 102, 30, BanditTest::usual);
        assertEquals(banditWith("b1", rows).advise(NOW), banditWith("b1", rows).advise(NOW));
        Bandit bandit = banditWith("b1", rows);
        double first = adviceByServer(bandit, NOW).get("s5").speed();
        assertEquals(first, adviceByServer(bandit, NOW + WINDOW / 2).get("s5").speed());
        assertNotEquals(first, adviceByServer(bandit, NOW + WINDOW).get("s5").speed());
        Set<String> best = new HashSet<>();
        for (String balancer : fleet(40)) {
            best.add(banditWith(balancer, rows).advise(NOW).servers().stream()
                    .max(Comparator.comparing(Advice::speed))
                    .orElseThrow()
                    .server());
        }
        assertTrue(best.size() >= 3, "all balancers prefer " + best);
    }

    @Test
    void loadIsMoreEvenWithAdviceThanWithoutInASimulatedFleet() {
        double[] without = new BanditSimulation("none", 30, 1).evenness();
        double[] advised = new BanditSimulation("thompson", 30, 1).evenness();
        assertTrue(
                advised[0] < 0.8 * without[0] && advised[1] > without[1] + 0.15,
                advised[0] + " " + advised[1] + " against " + without[0] + " " + without[1]);
    }
}
