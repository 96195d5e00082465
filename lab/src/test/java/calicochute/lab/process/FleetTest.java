package calicochute.lab.process;

import static calicochute.lab.process.SmallFleet.await;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Several processes of the program, with faults put between them. */
public class FleetTest {
    private static final String SHARE = "share: true\nbandit: false\n";

    @Test
    public void threeShareAnOutcomeThroughALossyLink() throws Exception {
        try (SmallFleet fleet = new SmallFleet(3, 7, List.of("m1", "m1"), SHARE, true, false)) {
            fleet.proxy.setLoss(0.3);
            for (int i = 0; i < 3; i++) {
                int at = i;
                await("all three see each other at " + i, () -> fleet.figure(at, "live") == 3);
            }
            // Only n0 has sessions: what n1 and n2 know of the servers they have heard.
            assertEquals(200, fleet.view(0));
            for (int i = 1; i < 3; i++) {
                int at = i;
                await("told at " + i, () -> {
                    fleet.view(0);
                    return fleet.figure(at, "rows") > 0;
                });
            }
        }
    }

    @Test
    public void whatSomeSeeTheOthersHeedWithoutATryOfTheirOwn() throws Exception {
        try (SmallFleet fleet =
                new SmallFleet(5, 17, List.of("m1", "m1", "m1", "m1"), "share: true\nbandit: true\n", true, false)) {
            fleet.proxy.setLoss(0.1);
            await("all", () -> fleet.figure(4, "live") == 5);
            fleet.script(0, e -> 500);
            // n4 has no session of its own until the others have told it.
            await("told", () -> {
                for (int i = 0; i < 40; i++) {
                    fleet.view(i % 4);
                }
                return fleet.figure(4, "sick") == 1;
            });
            for (int i = 0; i < 20; i++) {
                assertEquals("an order has no second chance", 200, fleet.order(4));
            }
            fleet.script(0, e -> 200);
            await("well again", () -> {
                for (int i = 0; i < 40; i++) {
                    fleet.view(i % 5);
                }
                return fleet.figure(4, "sick") == 0;
            });
        }
    }

    private static final String TRIAL = SHARE + """
        experiments:
          - name: release-12
            control: {kind: m1}
            treatment: {kind: m2}
            share: 0.5
            lanes: [view, order]
            least: 0.1
            error: 0.05
            guards: [{lane: order, worse: 0.05}]
            longest: 1h
        """;

    /** Orders through a balancer, one after another, until the condition holds. */
    private static void ordersUntil(
            SmallFleet fleet, int[] through, String what, java.util.concurrent.Callable<Boolean> done)
            throws Exception {
        await(what, () -> {
            for (int i = 0; i < 40; i++) {
                fleet.order(through[i % through.length]);
            }
            return done.call();
        });
    }

    private static boolean says(SmallFleet fleet, int balancer, String verdict) throws Exception {
        return fleet.admin(balancer, "experiments").contains("verdict=" + verdict);
    }

    private static void begun(SmallFleet fleet, int... at) throws Exception {
        for (int i : at) {
            await("begun at " + i, () -> fleet.admin(i, "experiments").contains("share=0.5"));
        }
    }

    @Test
    public void harmIsToldAtAllAndOutlivesARestartOfOne() throws Exception {
        try (SmallFleet fleet = new SmallFleet(5, 11, List.of("m1", "m1", "m2", "m2"), TRIAL, true, false)) {
            fleet.proxy.setLoss(0.1);
            begun(fleet, 0, 1, 2, 3, 4);
            fleet.script(2, e -> 500);
            fleet.script(3, e -> 500);
            ordersUntil(fleet, new int[] {0, 1, 2, 3, 4}, "harm at n0", () -> says(fleet, 0, "HARM"));
            for (int i = 1; i < 5; i++) {
                int at = i;
                await("harm at n" + i, () -> says(fleet, at, "HARM"));
            }
            fleet.kill(4);
            fleet.launch(4);
            fleet.awaitReady(4);
            await("harm at n4 again", () -> says(fleet, 4, "HARM"));
            // Nobody goes to the treatment any more: orders are served again.
            await("served", () -> fleet.order(4) == 200 && fleet.order(0) == 200);
        }
    }

    @Test
    public void theSmallerSideOfASplitDecidesNothingAndTakesTheOthersVerdict() throws Exception {
        try (SmallFleet fleet = new SmallFleet(5, 12, List.of("m1", "m1", "m2", "m2"), TRIAL, true, false)) {
            begun(fleet, 0, 1, 2, 3, 4);
            fleet.proxy.split(0, 1);
            fleet.script(2, e -> 500);
            fleet.script(3, e -> 500);
            ordersUntil(
                    fleet,
                    new int[] {0, 1, 2, 3, 4},
                    "harm on the larger side",
                    () -> says(fleet, 2, "HARM") && says(fleet, 3, "HARM") && says(fleet, 4, "HARM"));
            assertTrue(says(fleet, 0, "NONE") && says(fleet, 1, "NONE"));
            fleet.proxy.heal();
            await("the same on both sides", () -> says(fleet, 0, "HARM") && says(fleet, 1, "HARM"));
        }
    }

    @Test
    public void aVerdictOutlivesARestartOfAllWhereThereIsAFolder() throws Exception {
        try (SmallFleet fleet = new SmallFleet(3, 13, List.of("m1", "m2"), TRIAL, true, true)) {
            begun(fleet, 0, 1, 2);
            fleet.script(1, e -> 500);
            ordersUntil(
                    fleet,
                    new int[] {0, 1, 2},
                    "harm",
                    () -> says(fleet, 0, "HARM") && says(fleet, 1, "HARM") && says(fleet, 2, "HARM"));
            for (int i = 0; i < 3; i++) {
                fleet.kill(i);
            }
            // A torn file does no harm: that balancer hears it from the others.
            try (var files = Files.list(fleet.folder.resolve("state"))) {
                Path torn = files.filter(p -> p.getFileName().toString().startsWith("n2."))
                        .findFirst()
                        .orElseThrow();
                Files.write(torn, java.util.Arrays.copyOf(Files.readAllBytes(torn), 20));
            }
            for (int i = 0; i < 3; i++) {
                fleet.launch(i);
            }
            for (int i = 0; i < 3; i++) {
                fleet.awaitReady(i);
                int at = i;
                await("harm remembered at n" + i, () -> says(fleet, at, "HARM"));
            }
            assertTrue(fleet.log(2), fleet.log(2).contains("state-not-used"));
        }
    }

    @Test
    public void aPausedAndADeadBalancerAreMissedAndTakenBack() throws Exception {
        try (SmallFleet fleet = new SmallFleet(5, 14, List.of("m1", "m2"), SHARE, true, false)) {
            fleet.proxy.setLoss(0.1);
            await("all", () -> fleet.figure(0, "live") == 5);
            fleet.signal(3, "STOP");
            fleet.kill(4);
            await("both missed", () -> fleet.figure(0, "live") == 3 && fleet.figure(1, "live") == 3);
            assertEquals(200, fleet.view(0));
            fleet.signal(3, "CONT");
            fleet.launch(4);
            fleet.awaitReady(4);
            await(
                    "both back",
                    () -> fleet.figure(0, "live") == 5 && fleet.figure(3, "live") == 5 && fleet.figure(4, "live") == 5);
        }
    }

    @Test
    public void aOneWayCutIsGoneRound() throws Exception {
        try (SmallFleet fleet = new SmallFleet(4, 15, List.of("m1"), SHARE, true, false)) {
            await("all", () -> fleet.figure(0, "live") == 4 && fleet.figure(1, "live") == 4);
            fleet.proxy.cut(0, 1);
            await("n1 hears of what n0 saw all the same", () -> {
                fleet.view(0);
                return fleet.figure(1, "rows") > 0;
            });
            assertEquals(4, fleet.figure(1, "live"));
        }
    }

    @Test
    public void anExperimentThatIsChangedInMidRunBeginsAnew() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 16, List.of("m1", "m2"), TRIAL, true, false)) {
            begun(fleet, 0);
            String before = fleet.admin(0, "experiments").split(" ")[0];
            fleet.writeOperatorFile(0, TRIAL.replace("worse: 0.05", "worse: 0.01"));
            fleet.signal(0, "HUP");
            await(
                    "another",
                    () -> !fleet.admin(0, "experiments").split(" ")[0].equals(before)
                            && fleet.admin(0, "experiments").contains("share=0.5"));
            assertTrue(fleet.log(0), fleet.log(0).contains("experiment-changed"));
            fleet.writeOperatorFile(0, TRIAL.replace("error: 0.05", "error: 0"));
            fleet.signal(0, "HUP");
            await(
                    "refused",
                    () -> fleet.log(0).contains("fleet-reload-failed")
                            && fleet.log(0).contains("ERROR_OUT_OF_RANGE"));
            assertTrue(fleet.admin(0, "experiments").contains("release-12"));
            // Taken out while a session of it is with a server: the session ends as any other (a fault would show in
            // the log at the end).
            CountDownLatch met = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            for (int server = 0; server < 2; server++) {
                fleet.script(server, e -> {
                    met.countDown();
                    SmallFleet.hold(release);
                    return 200;
                });
            }
            CompletableFuture<Integer> answer =
                    CompletableFuture.supplyAsync(() -> SmallFleet.unchecked(() -> fleet.view(0)));
            assertTrue(met.await(30, TimeUnit.SECONDS));
            fleet.writeOperatorFile(0, SHARE);
            fleet.signal(0, "HUP");
            await("taken out", () -> fleet.log(0).contains("experiment-ends"));
            release.countDown();
            assertTrue(List.of(200, 502, 504).contains(answer.get(30, TimeUnit.SECONDS)));
            await("none", () -> fleet.admin(0, "experiments").trim().equals("none"));
        }
    }

    /** The operator's file is held against the settings that came with the same signal, not against those before. */
    @Test
    public void aClassAndAnExperimentOnItComeWithOneHangup() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 16, List.of("m1", "m2"), SHARE, true, false)) {
            Path config = fleet.folder.resolve("n0.json");
            Files.writeString(config, Files.readString(config).replace("\"name\":\"order\"", "\"name\":\"lend\""));
            fleet.writeOperatorFile(0, TRIAL.replace("order", "lend"));
            fleet.signal(0, "HUP");
            await(
                    "begun, or refused",
                    () -> fleet.log(0).contains("fleet-reload-failed")
                            || fleet.admin(0, "experiments").contains("share=0.5"));
            assertTrue(fleet.log(0), !fleet.log(0).contains("fleet-reload-failed"));
        }
    }

    @Test
    public void whereTheSettingsForbidTalkNoSocketIsOpenedAndNoThreadStarted() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 7, List.of("m1"), SHARE, false, false)) {
            assertEquals(200, fleet.view(0));
            assertEquals("off", fleet.admin(0, "fleet").trim());
            assertTrue(fleet.log(0), fleet.log(0).contains("fleet-off"));
            long pid = fleet.pid(0);
            try (var threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
                assertTrue(threads.noneMatch(t -> named(t, "fleet")));
            }
            // A UDP socket of the process would be listed with the port that its file names.
            String udp = Files.readString(Path.of("/proc/" + pid + "/net/udp"))
                    + Files.readString(Path.of("/proc/" + pid + "/net/udp6"));
            assertTrue(
                    udp,
                    !udp.contains(String.format(
                            ":%04X ", fleet.proxy.processAddress(0).getPort())));
        }
    }

    private static boolean named(Path task, String name) {
        try {
            return Files.readString(task.resolve("comm")).trim().startsWith(name);
        } catch (java.io.IOException e) {
            // It has just ended.
            return false;
        }
    }
}
