package calicochute.lab.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.emulator.EmulationResult;
import calicochute.lab.referee.Breach;
import calicochute.lab.referee.Rule;
import calicochute.lab.scenario.ScenarioReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Runs scripted balancers as processes: each breach is recorded once, and a balancer that keeps all rules has none. */
public class RefereeCatchesTest {
    @org.junit.Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static final String SCENARIO = """
        version: 1
        title: A small tier
        shows: what a scripted balancer does to it
        length: 3s
        settle: 50ms
        leadIn: 300ms
        zones: {names: [a]}
        classes:
          - {name: view, share: 0.4, effect: repeatable, work: 10ms, aim: 900ms, giveUp: 2s}
          - {name: order, share: 0.3, effect: once, work: 10ms, aim: 900ms, giveUp: 2s}
          - {name: scan, share: 0.3, effect: keyed, work: 10ms, aim: 900ms, giveUp: 2s}
        tenants: [{name: t, share: 1}]
        tiers: [{name: only, servers: 3, work: 1, kinds: [{name: k, slots: 4, coldShare: 0.05, warmTime: 60s, warmByWork: false, handshake: 0s}]}]
        load: {rate: 60/s, swing: 0}
        balancers: {count: 1}
        clients: {retries: 0}
        discovery: {notice: 200ms, grace: 500ms, capacity: 1000/s}
        """;
    private static final String CRASH = """
        troubles:
          - {kind: crash, at: 300ms, lasts: 400ms, tier: only, servers: 1}
        """;
    private static final String DRAIN = """
        troubles:
          - {kind: drain, at: 300ms, lasts: 1s, tier: only, servers: 1}
        """;

    static String command(String mode) {
        return "exec '" + System.getProperty("java.home") + "/bin/java' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '"
                + System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
                + "' calicochute.lab.process.ScriptedBalancer " + mode;
    }

    private EmulationResult run(String mode, String scenario) throws Exception {
        return new Emulation(
                        ScenarioReader.parse("test", scenario),
                        5,
                        folder.newFolder().toPath(),
                        new Emulation.BalancerCommand(command(mode), Path.of(".")),
                        (seconds, length, ended, served, open) -> {})
                .run();
    }

    private void expectBreaches(String mode, String scenario, Rule... rules) throws Exception {
        EmulationResult outcome = run(mode, scenario);
        assertNull(outcome.ended(), outcome.ended());
        assertTrue("too few requests were sent", outcome.requests().size() > 100);
        Set<Rule> actual = outcome.breaches().stream().map(Breach::rule).collect(Collectors.toSet());
        Set<Rule> expected = rules.length == 0 ? Set.of() : EnumSet.of(rules[0], rules);
        assertEquals(outcome.breaches().toString(), expected, actual);
        Set<String> seen = new HashSet<>();
        for (Breach breach : outcome.breaches()) {
            assertTrue(breach + " is recorded twice", seen.add(breach.rule() + breach.session() + breach.server()));
        }
    }

    /** A server crashes and starts again cold, or drains, while requests continue. */
    @Test
    public void aBalancerThatKeepsAllRulesHasNoBreach() throws Exception {
        expectBreaches("good", SCENARIO + CRASH);
        expectBreaches("good", SCENARIO + DRAIN);
    }

    /**
     * Clients get an error after 1 s, while servers still wait for the next tier. Guards against an end of the run that
     * cuts these calls off, which would count as lost sessions.
     */
    @Test
    public void callsToTheNextTierAreNotCutOffByTheEndOfTheRun() throws Exception {
        expectBreaches(
                "good",
                SCENARIO.replace("work: 10ms", "work: 4s")
                        .replace(
                                "tiers: [{name: only, servers: 3, work: 1, ",
                                "tiers: [{name: front, servers: 3, work: 0.3, calls: [1, 1], kinds: [{name: f, slots: 200}]}, "
                                        + "{name: behind, servers: 3, work: 0.7, ")
                        .replace("slots: 4,", "slots: 200,"));
    }

    @Test
    public void detectsASecondResponse() throws Exception {
        expectBreaches("answers-twice", SCENARIO, Rule.ANSWERED_TWICE);
    }

    @Test
    public void detectsAMissingResponse() throws Exception {
        expectBreaches("never-answers", SCENARIO, Rule.LOST);
    }

    @Test
    public void detectsARepeatedDispatchOfAOnceSession() throws Exception {
        expectBreaches("sends-twice", SCENARIO, Rule.RAN_TWICE);
    }

    @Test
    public void detectsADenyAfterTheSessionHasRun() throws Exception {
        expectBreaches("denies-late", SCENARIO, Rule.DENIED_AFTER_RUN);
    }

    @Test
    public void detectsAForgedResponse() throws Exception {
        expectBreaches("forges", SCENARIO, Rule.FORGED);
    }

    /**
     * The balancer is told that the server drains, in response to its calls to discovery, and continues to send to it.
     */
    @Test
    public void detectsDispatchesToADrainingServer() throws Exception {
        expectBreaches("drains-late", SCENARIO + DRAIN, Rule.DRAINED);
    }

    @Test
    public void detectsTheCollapseOfAColdServer() throws Exception {
        expectBreaches(
                "floods",
                SCENARIO.replace("work: 10ms", "work: 40ms").replace("notice: 200ms", "notice: 50ms") + CRASH,
                Rule.PUSHED_OVER);
    }

    /**
     * Two balancers in each of two tiers exchange datagrams: datagrams pass within a tier, none pass between the sides
     * of a split, and a paused balancer has no breach.
     */
    @Test
    public void balancersExchangeDatagramsThroughTheProxy() throws Exception {
        EmulationResult outcome = run(
                "good",
                SCENARIO.replace("count: 1", "count: 2")
                                .replace(
                                        "tiers: [{name: only, servers: 3, work: 1, ",
                                        "tiers: [{name: front, servers: 2, work: 0.5, calls: [1, 1], "
                                                + "kinds: [{name: f, slots: 9}]}, {name: only, servers: 3, work: 0.5, ")
                        + """
            fleet: {state: true, experiments: [{name: e1}], network: {delay: 2ms}}
            troubles:
              - {kind: net-split, at: 500ms, lasts: 1s, tier: only, balancers: 1}
              - {kind: balancer-pause, at: 1500ms, lasts: 500ms, balancers: 1}
            """);
        assertNull(outcome.ended(), outcome.ended());
        assertEquals(List.of(), outcome.breaches());
        assertTrue(
                outcome.datagrams().toString(),
                outcome.datagrams().get("cut") > 5
                        && outcome.datagrams().get("delivered") > 50
                        && outcome.datagrams().get("unknown") == 0);
        Path runFolder = Files.walk(folder.getRoot().toPath())
                .filter(path -> path.endsWith("b1-0.log"))
                .findFirst()
                .orElseThrow()
                .getParent();
        assertTrue(Files.readString(runFolder.resolve("b1-0.log")).contains("heard n3 from"));
        assertFalse(Files.readString(runFolder.resolve("b1-0.log")).contains("heard n0 from"));
        assertTrue(Files.readString(runFolder.resolve("b1-0.json")).contains("\"peers\":true"));
        assertTrue(Files.isDirectory(runFolder.resolve("b1-0-state")));
    }

    /** A balancer process that ends by itself ends the run, and the result says so. */
    @Test
    public void aBalancerCrashIsReported() throws Exception {
        EmulationResult outcome = run("crashes", SCENARIO);
        assertNotNull(outcome.ended());
        assertTrue(outcome.ended(), outcome.ended().contains("b0-0 ended by itself with status 7"));
    }
}
