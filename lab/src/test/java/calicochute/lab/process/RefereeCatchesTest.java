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

/** Balancers that are bad on purpose, as processes: each breach is caught, once, and a good one is never accused. */
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
    private static final String TROUBLES = """
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

    private EmulationResult play(String mode, String scenario) throws Exception {
        return new Emulation(
                        ScenarioReader.parse("test", scenario),
                        5,
                        folder.newFolder().toPath(),
                        new Emulation.BalancerCommand(command(mode), Path.of(".")),
                        (a, b, c, d, e) -> {})
                .run();
    }

    private void caught(String mode, String scenario, Rule... rules) throws Exception {
        EmulationResult outcome = play(mode, scenario);
        assertNull(outcome.ended(), outcome.ended());
        assertTrue("hardly anything was asked", outcome.requests().size() > 100);
        Set<Rule> found = outcome.breaches().stream().map(Breach::rule).collect(Collectors.toSet());
        Set<Rule> expected = rules.length == 0 ? Set.of() : EnumSet.of(rules[0], rules);
        assertEquals(outcome.breaches().toString(), expected, found);
        Set<String> once = new HashSet<>();
        for (Breach breach : outcome.breaches()) {
            assertTrue(breach + " is told twice", once.add(breach.rule() + breach.session() + breach.server()));
        }
    }

    /** A server crashes and comes back cold while requests go on: no rule is broken by a balancer that keeps them. */
    @Test
    public void aGoodOneIsNeverAccused() throws Exception {
        caught("good", SCENARIO + TROUBLES);
        caught("good", SCENARIO + DRAIN);
    }

    /** Clients are told of failures after 1 s, while servers still wait for the tier behind them: the run waits too. */
    @Test
    public void aGoodOneBehindAnotherIsNotCutOff() throws Exception {
        caught(
                "good",
                SCENARIO.replace("work: 10ms", "work: 4s")
                        .replace(
                                "tiers: [{name: only, servers: 3, work: 1, ",
                                "tiers: [{name: front, servers: 3, work: 0.3, calls: [1, 1], kinds: [{name: f, slots: 200}]}, "
                                        + "{name: behind, servers: 3, work: 0.7, ")
                        .replace("slots: 4,", "slots: 200,"));
    }

    @Test
    public void answersTwice() throws Exception {
        caught("answers-twice", SCENARIO, Rule.ANSWERED_TWICE);
    }

    @Test
    public void neverAnswers() throws Exception {
        caught("never-answers", SCENARIO, Rule.LOST);
    }

    @Test
    public void sendsAgainWhatMustRunOnce() throws Exception {
        caught("sends-twice", SCENARIO, Rule.RAN_TWICE);
    }

    @Test
    public void deniesWhatHasRun() throws Exception {
        caught("denies-late", SCENARIO, Rule.DENIED_AFTER_RUN);
    }

    @Test
    public void makesUpAnAnswer() throws Exception {
        caught("forges", SCENARIO, Rule.FORGED);
    }

    /** It hears that the server drains (told at the latest after 6 s, here by its calls) and goes on sending. */
    @Test
    public void keepsSendingToADrainingServer() throws Exception {
        caught("drains-late", SCENARIO + DRAIN, Rule.DRAINED);
    }

    @Test
    public void floodsAColdServer() throws Exception {
        caught(
                "floods",
                SCENARIO.replace("work: 10ms", "work: 40ms").replace("notice: 200ms", "notice: 50ms") + TROUBLES,
                Rule.PUSHED_OVER);
    }

    /**
     * Four balancers that talk to each other, one tier behind the other: datagrams pass within a tier, not through a
     * split, and one that stands still on purpose is accused of nothing.
     */
    @Test
    public void aFleetTalksThroughTheLab() throws Exception {
        EmulationResult outcome = play(
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
        Path work = Files.walk(folder.getRoot().toPath())
                .filter(p -> p.endsWith("b1-0.log"))
                .findFirst()
                .orElseThrow()
                .getParent();
        assertTrue(Files.readString(work.resolve("b1-0.log")).contains("heard n3 from"));
        assertFalse(Files.readString(work.resolve("b1-0.log")).contains("heard n0 from"));
        assertTrue(Files.readString(work.resolve("b1-0.json")).contains("\"peers\":true"));
        assertTrue(Files.isDirectory(work.resolve("b1-0-state")));
    }

    /** A balancer that ends by itself ends the run, which says so. */
    @Test
    public void aCrashIsReported() throws Exception {
        EmulationResult outcome = play("crashes", SCENARIO);
        assertNotNull(outcome.ended());
        assertTrue(outcome.ended(), outcome.ended().contains("b0-0 ended by itself with status 7"));
    }
}
