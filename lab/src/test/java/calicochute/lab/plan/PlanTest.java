package calicochute.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that what is drawn before a run depends only on its seed and matches the scenario. */
class PlanTest {
    private static final String JUMP = "  - {kind: jump, at: 5s, lasts: 5s, factor: 3}\n";

    private static Scenario scenario(String more) throws Exception {
        try (InputStream in = PlanTest.class.getResourceAsStream("/calicochute/lab/full.yaml")) {
            return ScenarioReader.parse("s", new String(in.readAllBytes(), StandardCharsets.UTF_8) + more);
        }
    }

    private static List<Arrival> arrivals(Scenario scenario, long seed) {
        RandomStreams streams = new RandomStreams(seed);
        return ArrivalPlan.draw(Deployment.draw(scenario, streams), streams);
    }

    @Test
    void sameSeedDrawsSameRun() throws Exception {
        Scenario scenario = scenario("");
        assertEquals(arrivals(scenario, 7).toString(), arrivals(scenario, 7).toString());
        assertNotEquals(arrivals(scenario, 7).toString(), arrivals(scenario, 8).toString());
        assertEquals(Deployment.draw(scenario, new RandomStreams(7)), Deployment.draw(scenario, new RandomStreams(7)));
    }

    /** An added trouble must not change any other draw; otherwise runs with and without it could not be compared. */
    @Test
    void addedTroubleChangesNoOtherDraw() throws Exception {
        Set<String> usual = keys(arrivals(scenario(""), 7));
        Set<String> withJump = keys(arrivals(scenario(JUMP), 7));
        assertTrue(withJump.containsAll(usual));
        assertTrue(withJump.size() > usual.size());
        Deployment deployment = Deployment.draw(scenario(JUMP), new RandomStreams(7));
        List<TroublePlan> more = TroublePlan.draw(deployment, new RandomStreams(7));
        List<TroublePlan> fewer =
                TroublePlan.draw(Deployment.draw(scenario(""), new RandomStreams(7)), new RandomStreams(7));
        assertEquals(fewer, more.subList(0, fewer.size()));
    }

    /** Weights where all machines have the same number of cores, and where the tiers differ. */
    @Test
    void discoveryWeightIsCoresOverTierMean() throws Exception {
        String alike = ScenarioReader.write(scenario(""));
        Deployment same = Deployment.draw(ScenarioReader.parse("s", alike), new RandomStreams(7));
        same.machines().forEach(m -> assertEquals(1, same.discoveryWeight(m)));
        Deployment mixed = Deployment.draw(
                ScenarioReader.parse("s", alike.replaceFirst("cores: 2", "cores: 5")), new RandomStreams(7));
        for (int t = 0; t < mixed.scenario().tiers().size(); t++) {
            assertEquals(
                    1,
                    mixed.machines(t).stream()
                            .mapToDouble(mixed::discoveryWeight)
                            .average()
                            .orElse(0),
                    1e-9);
        }
        assertTrue(mixed.machines().stream().anyMatch(m -> m.kind().cores() == 5));
        for (var one : mixed.machines()) {
            for (var other : mixed.machines(one.tier())) {
                assertEquals(
                        (double) one.kind().cores() / other.kind().cores(),
                        mixed.discoveryWeight(one) / mixed.discoveryWeight(other),
                        1e-9);
            }
        }
    }

    private static Set<String> keys(List<Arrival> arrivals) {
        return arrivals.stream()
                .map(a -> a.atMicros() + " " + a.classIndex() + " " + a.tenant() + " " + a.workMicros() + " "
                        + a.patience())
                .collect(Collectors.toSet());
    }

    @Test
    void arrivalsMatchRateAndShares() throws Exception {
        Scenario scenario = scenario("");
        Deployment deployment = Deployment.draw(scenario, new RandomStreams(1));
        int count = 0;
        double work = 0;
        int views = 0;
        int runs = 20;
        for (int seed = 0; seed < runs; seed++) {
            RandomStreams streams = new RandomStreams(seed);
            for (Arrival a : ArrivalPlan.draw(deployment, streams)) {
                if (a.atMicros() < 0) {
                    continue;
                }
                count++;
                work += a.workMicros();
                views += a.classIndex() == 0 ? 1 : 0;
            }
        }
        // The run covers 20 s of a wave with a period of 25 s; the mean of the wave over them is 1 + 0.2 * (1 - cos(1.6
        // pi)) / (1.6 pi).
        double wave = 1 + 0.2 * (1 - Math.cos(1.6 * Math.PI)) / (1.6 * Math.PI);
        assertEquals(1, count / (runs * 20 * deployment.ratePerSecond() * wave), 0.03);
        assertEquals(0.5, views / (double) count, 0.02);
        assertEquals(1, work / count / deployment.meanWorkMicros(), 0.05);
    }

    @Test
    void everyCallingServerHasABalancer() throws Exception {
        Deployment deployment = Deployment.draw(scenario(""), new RandomStreams(3));
        assertEquals(3 + 4, deployment.balancers().size());
        List<String> owners = new ArrayList<>(deployment.balancers().stream()
                .filter(b -> b.tier() == 1)
                .map(BalancerSpec::owner)
                .toList());
        assertEquals(deployment.machines(0).stream().map(m -> m.id()).toList(), owners);
    }

    /** A network trouble hits balancers of the given tier, and the two ends of a one-way cut have none in common. */
    @Test
    void networkTroubleEndsAreDisjoint() throws Exception {
        List<TroublePlan> plans =
                TroublePlan.draw(Deployment.draw(scenario(""), new RandomStreams(3)), new RandomStreams(3));
        TroublePlan cut = plans.get(6);
        assertEquals(1, cut.victims().size());
        assertEquals(2, cut.others().size());
        assertTrue(cut.victims().stream().noneMatch(cut.others()::contains));
        Stream.concat(cut.victims().stream(), cut.others().stream()).forEach(b -> assertTrue(b.startsWith("b1-"), b));
        assertEquals(2, plans.get(7).victims().size());
        assertEquals(
                1,
                TroublePlan.draw(Deployment.draw(scenario(""), new RandomStreams(3)), new RandomStreams(3))
                        .get(3)
                        .victims()
                        .stream()
                        .filter(b -> b.startsWith("b0-"))
                        .count());
    }

    @Test
    void rollingDrainEndsAfterItsLastVictim() throws Exception {
        TroublePlan drain = TroublePlan.draw(Deployment.draw(scenario(""), new RandomStreams(3)), new RandomStreams(3))
                .get(4);
        assertEquals(2, drain.victims().size());
        assertEquals(2_000_000 + 5_000_000, drain.toMicros() - drain.fromMicros());
    }
}
