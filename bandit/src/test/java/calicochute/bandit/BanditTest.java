package calicochute.bandit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.End;
import calicochute.outcomes.Pictures;
import calicochute.outcomes.Row;
import calicochute.outcomes.Subject;
import calicochute.outcomes.Tally;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class BanditTest {
    private static final long W = 2_000_000, NOW = 104 * W;
    private static final int SERVERS = 12;

    /** What one witness counts at a server in a window; null: nothing. */
    private interface Seen {
        Tally of(long window, int server, int witness);
    }

    private static Tally many(int n, End end, double log) {
        Tally sum = Tally.NONE;
        for (int i = 0; i < n; i++) {
            sum = sum.plus(Tally.of(end, log));
        }
        return sum;
    }

    /** Two answers for each witness, with noise that depends on who and what alone. */
    private static Tally usual(long window, int server, int witness) {
        SplittableRandom random = new SplittableRandom(window * 1_000_003 + server * 1009 + witness);
        return Tally.of(End.IN_AIM, random.nextGaussian() / 2).plus(Tally.of(End.IN_AIM, random.nextGaussian() / 2));
    }

    private static List<Row> rows(long from, long to, int witnesses, Seen seen) {
        List<Row> rows = new ArrayList<>();
        for (long w = from; w <= to; w++) {
            for (int s = 0; s < SERVERS; s++) {
                List<Tally> of = new ArrayList<>();
                for (int i = 0; i < witnesses; i++) {
                    Tally t = seen.of(w, s, i);
                    if (t != null) {
                        of.add(t);
                    }
                }
                if (!of.isEmpty()) {
                    rows.add(Pictures.row(new Subject("s" + s, 1, "lane", ""), w, of));
                }
            }
        }
        return rows;
    }

    private static List<Listed> listed(long startedAt) {
        List<Listed> list = new ArrayList<>();
        for (int s = 0; s < SERVERS; s++) {
            list.add(new Listed("s" + s, startedAt, "kind", "z", 1, true));
        }
        return list;
    }

    private static Set<String> fleet(int many) {
        Set<String> live = new TreeSet<>();
        for (int i = 0; i < many; i++) {
            live.add("b" + i);
        }
        return live;
    }

    private static Bandit told(String me, List<Row> rows) {
        Bandit bandit = new Bandit(Setting.USUAL, me, 7);
        bandit.heard(NOW, Pictures.of(rows), fleet(100), listed(1));
        return bandit;
    }

    private static Map<String, Advice> advised(Bandit bandit, long now) {
        Map<String, Advice> by = new HashMap<>();
        bandit.advise(now).of().forEach(a -> by.put(a.server(), a));
        return by;
    }

    /** Shares by the softmax where the reader has some own samples of its own opinion. */
    private static double[] shares(Map<String, Advice> advice, double samples) {
        double[] score = new double[SERVERS];
        double best = 0;
        for (int s = 0; s < SERVERS; s++) {
            Advice a = advice.get("s" + s);
            double k = samples / (samples + a.worth());
            score[s] = (1 + 0.02 * (s % 3)) * k + a.speed() * (1 - k);
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

    private static double moved(Seen with, double samples) {
        Seen without = (w, s, i) -> i == 99 ? null : usual(w, s, i);
        double[] a = shares(advised(told("b1", rows(98, 102, 100, without)), NOW), samples);
        double[] b = shares(advised(told("b1", rows(98, 102, 100, with)), NOW), samples);
        double moved = 0;
        for (int s = 0; s < SERVERS; s++) {
            moved += Math.abs(a[s] - b[s]) / 2;
        }
        return moved;
    }

    @Test
    void oneBadWitnessInAHundredMovesSharesByUnderTwoPercent() {
        Map<String, Seen> bad = Map.of(
                "a third fails",
                        (w, s, i) -> i < 99
                                ? usual(w, s, i)
                                : s % 3 == 0 ? many(50, End.UNREACHABLE, Double.NaN) : many(2, End.IN_AIM, 0),
                "a third is twenty times as fast",
                        (w, s, i) -> i < 99 ? usual(w, s, i) : many(50, End.IN_AIM, s % 3 == 0 ? 3 : 0),
                "a third is twenty times as slow",
                        (w, s, i) -> i < 99 ? usual(w, s, i) : many(50, End.LATE, s % 3 == 0 ? -3 : 0));
        bad.forEach((what, seen) -> {
            for (double samples : new double[] {0, 1, 12}) {
                double moved = moved(seen, samples);
                assertTrue(moved < 0.02, what + ", " + samples + " own samples: " + moved);
            }
        });
    }

    @Test
    void aHundredThatAgreeAreBelievedAtOnceAndThoseThatDifferLess() {
        Bandit agree =
                told("b1", rows(102, 102, 100, (w, s, i) -> s == 5 ? many(2, End.IN_AIM, -1.6) : usual(w, s, i)));
        Advice slow = advised(agree, NOW).get("s5");
        assertTrue(slow.sick() && slow.speed() < 0.3 && slow.worth() > 50, slow.toString());
        assertTrue(advised(agree, NOW).get("s4").worth() > 50);
        Bandit differ = told(
                "b1",
                rows(102, 102, 100, (w, s, i) -> s == 5 && i % 3 == 0 ? many(2, End.IN_AIM, -1.6) : usual(w, s, i)));
        Advice path = advised(differ, NOW).get("s5");
        assertTrue(!path.sick() && path.worth() < 5, path.toString());
    }

    @Test
    void dispatchesBeyondWhatSpeedSaysAreCorrected() {
        Seen crowded = (w, s, i) -> s == 3 ? usual(w, s, i).plus(usual(w, s, i)) : usual(w, s, i);
        double[] speeds = new double[2];
        for (int i = 0; i < 2; i++) {
            Bandit bandit = new Bandit(Setting.USUAL, "b1", 7);
            for (long w = 98; w <= 102; w++) {
                bandit.heard(
                        (w + 2) * W,
                        Pictures.of(rows(w - 2, w, 20, i == 0 ? crowded : BanditTest::usual)),
                        fleet(20),
                        listed(1));
            }
            speeds[i] = advised(bandit, NOW).get("s3").speed();
        }
        assertTrue(speeds[0] < speeds[1] - 0.01, speeds[0] + " " + speeds[1]);
    }

    private static Seen dead(int server) {
        return (w, s, i) -> s == server ? many(2, End.UNREACHABLE, Double.NaN) : usual(w, s, i);
    }

    /** Turns in a minute over the whole fleet, and by whom. */
    private static Map<String, Integer> turns(int balancers) {
        List<Row> rows = rows(100, 102, Math.min(balancers, 100), dead(5));
        Map<String, Integer> turns = new java.util.TreeMap<>();
        for (String me : fleet(balancers)) {
            Bandit bandit = new Bandit(Setting.USUAL, me, 7);
            bandit.heard(NOW, Pictures.of(rows), fleet(balancers), listed(1));
            for (long slot = 0; slot < 4; slot++) {
                if (advised(bandit, NOW + slot * 500_000 + 1).get("s5").mayTry()) {
                    turns.merge(me, 1, Integer::sum);
                }
            }
        }
        return turns;
    }

    @Test
    void triesAreTheFleetsAndDoNotGrowWithIt() {
        for (int balancers : new int[] {30, 300}) {
            Map<String, Integer> turns = turns(balancers);
            assertEquals(4, turns.values().stream().mapToInt(Integer::intValue).sum());
            assertTrue(turns.size() >= 2, "one owner for good: " + turns);
        }
    }

    @Test
    void anOwnerThatGoesPassesItsTurnOn() {
        for (long slot = 0; slot < 50; slot++) {
            Set<String> live = fleet(20);
            Set<String> owners = new HashSet<>();
            for (int round = 0; round < 2; round++) {
                for (String me : Set.copyOf(live)) {
                    Duty duty = new Duty(me, 500_000);
                    duty.live(live);
                    if (duty.mine("s", slot * 500_000, 1, 1)) {
                        owners.add(me);
                    }
                }
                assertEquals(round + 1, owners.size());
                live.removeAll(owners);
            }
        }
    }

    @Test
    void aFewGoodTriesBringItBackAndAfterARelapseOnlyAWindowOfThem() {
        Bandit bandit = told("b1", rows(100, 102, 30, dead(5)));
        assertTrue(advised(bandit, NOW).get("s5").sick());
        // The return falls into the window: two tries failed and two went well.
        Seen mixed = (w, s, i) -> s != 5
                ? usual(w, s, i)
                : i >= 4 ? null : i < 2 ? Tally.of(End.RESET, Double.NaN) : Tally.of(End.IN_AIM, 0);
        bandit.heard(NOW + W, Pictures.of(rows(103, 103, 30, mixed)), fleet(30), listed(1));
        Advice back = advised(bandit, NOW + W).get("s5");
        assertTrue(!back.sick() && back.speed() > 0.93 && back.worth() > 3, back.toString());
        bandit.heard(NOW + 2 * W, Pictures.of(rows(104, 104, 30, dead(5))), fleet(30), listed(1));
        assertTrue(advised(bandit, NOW + 2 * W).get("s5").sick());
        bandit.heard(NOW + 3 * W, Pictures.of(rows(105, 105, 30, mixed)), fleet(30), listed(1));
        assertTrue(advised(bandit, NOW + 3 * W).get("s5").sick());
        Seen good = (w, s, i) -> s != 5 ? usual(w, s, i) : i < 4 ? Tally.of(End.IN_AIM, 0) : null;
        bandit.heard(NOW + 4 * W, Pictures.of(rows(106, 106, 30, good)), fleet(30), listed(1));
        assertFalse(advised(bandit, NOW + 4 * W).get("s5").sick());
    }

    @Test
    void withoutFreshRowsThereIsNoAdvice() {
        Bandit bandit = told("b1", rows(100, 102, 30, BanditTest::usual));
        assertEquals(SERVERS, bandit.advise(103 * W + 6_000_000).of().size());
        Advices stale = bandit.advise(103 * W + 6_000_001);
        assertTrue(stale.of().isEmpty() && stale.warmRate() == 0);
        assertEquals(0.01, stale.share());
    }

    @Test
    void aRestartLeavesLittleOfWhatWasKnown() {
        Bandit bandit = told("b1", rows(100, 102, 30, BanditTest::usual));
        assertTrue(advised(bandit, NOW).get("s5").worth() > 30);
        bandit.heard(NOW, Pictures.of(rows(100, 102, 30, BanditTest::usual)), fleet(30), listed(2));
        assertEquals(2, advised(bandit, NOW).get("s5").worth());
    }

    @Test
    void theSameSeedGivesTheSameAndBalancersDiffer() {
        List<Row> rows = rows(100, 102, 30, BanditTest::usual);
        assertEquals(told("b1", rows).advise(NOW), told("b1", rows).advise(NOW));
        Bandit one = told("b1", rows);
        double first = advised(one, NOW).get("s5").speed();
        assertEquals(first, advised(one, NOW + W / 2).get("s5").speed());
        assertNotEquals(first, advised(one, NOW + W).get("s5").speed());
        Set<String> best = new HashSet<>();
        for (String me : fleet(40)) {
            best.add(told(me, rows).advise(NOW).of().stream()
                    .max(java.util.Comparator.comparing(Advice::speed))
                    .orElseThrow()
                    .server());
        }
        assertTrue(best.size() >= 3, "all on " + best);
    }

    @Test
    void loadIsMoreEvenThanAloneInASimulatedFleet() {
        double[] alone = new Simulation("none", 30, 1).evenness();
        double[] advised = new Simulation("thompson", 30, 1).evenness();
        assertTrue(
                advised[0] < 0.8 * alone[0] && advised[1] > alone[1] + 0.15,
                advised[0] + " " + advised[1] + " against " + alone[0] + " " + alone[1]);
    }
}
