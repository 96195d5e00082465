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

/** Runs several balancer processes with network faults between them. */
public class FleetTest {
    private static final String SHARING_ONLY = "share: true\nbandit: false\n";

    @Test
    public void threeBalancersShareOutcomesOverALossyNetwork() throws Exception {
        try (SmallFleet fleet = new SmallFleet(3, 7, List.of("m1", "m1"), SHARING_ONLY, true, false)) {
            fleet.proxy.setLoss(0.3);
            for (int i = 0; i < 3; i++) {
                int balancer = i;
                await("all three see each other at " + i, () -> fleet.figure(balancer, "live") == 3);
            }
            // Only n0 has sessions, so n1 and n2 can know of the servers only from n0.
            assertEquals(200, fleet.view(0));
            for (int i = 1; i < 3; i++) {
                int balancer = i;
                await("outcomes known at " + i, () -> {
                    fleet.view(0);
                    return fleet.figure(balancer, "rows") > 0;
                });
            }
        }
    }

    @Test
    public void aBalancerAvoidsASickServerThatOnlyOthersHaveTried() throws Exception {
        try (SmallFleet fleet =
                new SmallFleet(5, 17, List.of("m1", "m1", "m1", "m1"), "share: true\nbandit: true\n", true, false)) {
            fleet.proxy.setLoss(0.1);
            await("all see each other", () -> fleet.figure(4, "live") == 5);
            fleet.script(0, exchange -> 500);
            // n4 has no session until it has learnt of the sick server from the others.
            await("n4 knows of the sick server", () -> {
                for (int i = 0; i < 40; i++) {
                    fleet.view(i % 4);
                }
                return fleet.figure(4, "sick") == 1;
            });
            for (int i = 0; i < 20; i++) {
                assertEquals("orders are not retried", 200, fleet.order(4));
            }
            fleet.script(0, exchange -> 200);
            await("server recovered", () -> {
                for (int i = 0; i < 40; i++) {
                    fleet.view(i % 5);
                }
                return fleet.figure(4, "sick") == 0;
            });
        }
    }

    private static final String SHARING_WITH_EXPERIMENT = SHARING_ONLY + """
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

    /** Sends orders through the balancers in turn until the condition holds. */
    private static void ordersUntil(
            SmallFleet fleet, int[] balancers, String description, java.util.concurrent.Callable<Boolean> condition)
            throws Exception {
        await(description, () -> {
            for (int i = 0; i < 40; i++) {
                fleet.order(balancers[i % balancers.length]);
            }
            return condition.call();
        });
    }

    private static boolean hasVerdict(SmallFleet fleet, int balancer, String verdict) throws Exception {
        return fleet.admin(balancer, "experiments").contains("verdict=" + verdict);
    }

    private static void awaitExperiment(SmallFleet fleet, int... balancers) throws Exception {
        for (int i : balancers) {
            await(
                    "experiment begun at " + i,
                    () -> fleet.admin(i, "experiments").contains("share=0.5"));
        }
    }

    @Test
    public void aVerdictReachesAllBalancersAndSurvivesARestartOfOne() throws Exception {
        try (SmallFleet fleet =
                new SmallFleet(5, 11, List.of("m1", "m1", "m2", "m2"), SHARING_WITH_EXPERIMENT, true, false)) {
            fleet.proxy.setLoss(0.1);
            awaitExperiment(fleet, 0, 1, 2, 3, 4);
            fleet.script(2, exchange -> 500);
            fleet.script(3, exchange -> 500);
            ordersUntil(fleet, new int[] {0, 1, 2, 3, 4}, "harm at n0", () -> hasVerdict(fleet, 0, "HARM"));
            for (int i = 1; i < 5; i++) {
                int balancer = i;
                await("harm at n" + i, () -> hasVerdict(fleet, balancer, "HARM"));
            }
            fleet.kill(4);
            fleet.launch(4);
            fleet.awaitReady(4);
            await("harm at n4 again", () -> hasVerdict(fleet, 4, "HARM"));
            // No session is sent to the treatment after the verdict, so orders are served again.
            await("served", () -> fleet.order(4) == 200 && fleet.order(0) == 200);
        }
    }

    @Test
    public void theMinoritySideOfASplitReachesNoVerdictAndAdoptsTheMajoritys() throws Exception {
        try (SmallFleet fleet =
                new SmallFleet(5, 12, List.of("m1", "m1", "m2", "m2"), SHARING_WITH_EXPERIMENT, true, false)) {
            awaitExperiment(fleet, 0, 1, 2, 3, 4);
            fleet.proxy.split(0, 1);
            fleet.script(2, exchange -> 500);
            fleet.script(3, exchange -> 500);
            ordersUntil(
                    fleet,
                    new int[] {0, 1, 2, 3, 4},
                    "harm on the larger side",
                    () -> hasVerdict(fleet, 2, "HARM") && hasVerdict(fleet, 3, "HARM") && hasVerdict(fleet, 4, "HARM"));
            assertTrue(hasVerdict(fleet, 0, "NONE") && hasVerdict(fleet, 1, "NONE"));
            fleet.proxy.heal();
            await("the same on both sides", () -> hasVerdict(fleet, 0, "HARM") && hasVerdict(fleet, 1, "HARM"));
        }
    }

    @Test
    public void aVerdictSurvivesARestartOfAllBalancersWithAStateFolder() throws Exception {
        try (SmallFleet fleet = new SmallFleet(3, 13, List.of("m1", "m2"), SHARING_WITH_EXPERIMENT, true, true)) {
            awaitExperiment(fleet, 0, 1, 2);
            fleet.script(1, exchange -> 500);
            ordersUntil(
                    fleet,
                    new int[] {0, 1, 2},
                    "harm",
                    () -> hasVerdict(fleet, 0, "HARM") && hasVerdict(fleet, 1, "HARM") && hasVerdict(fleet, 2, "HARM"));
            for (int i = 0; i < 3; i++) {
                fleet.kill(i);
            }
            // A truncated state file does no harm: that balancer gets the verdict from the others.
            try (var files = Files.list(fleet.folder.resolve("state"))) {
                Path torn = files.filter(file -> file.getFileName().toString().startsWith("n2."))
                        .findFirst()
                        .orElseThrow();
                Files.write(torn, java.util.Arrays.copyOf(Files.readAllBytes(torn), 20));
            }
            for (int i = 0; i < 3; i++) {
                fleet.launch(i);
            }
            for (int i = 0; i < 3; i++) {
                fleet.awaitReady(i);
                int balancer = i;
                await("harm remembered at n" + i, () -> hasVerdict(fleet, balancer, "HARM"));
            }
            assertTrue(fleet.log(2), fleet.log(2).contains("state-not-used"));
        }
    }

    @Test
    public void pausedAndKilledBalancersLeaveAndRejoin() throws Exception {
        try (SmallFleet fleet = new SmallFleet(5, 14, List.of("m1", "m2"), SHARING_ONLY, true, false)) {
            fleet.proxy.setLoss(0.1);
            await("all see each other", () -> fleet.figure(0, "live") == 5);
            fleet.signal(3, "STOP");
            fleet.kill(4);
            await("both left", () -> fleet.figure(0, "live") == 3 && fleet.figure(1, "live") == 3);
            assertEquals(200, fleet.view(0));
            fleet.signal(3, "CONT");
            fleet.launch(4);
            fleet.awaitReady(4);
            await(
                    "both rejoined",
                    () -> fleet.figure(0, "live") == 5 && fleet.figure(3, "live") == 5 && fleet.figure(4, "live") == 5);
        }
    }

    @Test
    public void informationIsRelayedAroundAOneWayCut() throws Exception {
        try (SmallFleet fleet = new SmallFleet(4, 15, List.of("m1"), SHARING_ONLY, true, false)) {
            await("all see each other", () -> fleet.figure(0, "live") == 4 && fleet.figure(1, "live") == 4);
            fleet.proxy.cut(0, 1);
            await("n1 learns what n0 saw through the others", () -> {
                fleet.view(0);
                return fleet.figure(1, "rows") > 0;
            });
            assertEquals(4, fleet.figure(1, "live"));
        }
    }

    @Test
    public void anExperimentChangedAtRunTimeStartsAgain() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 16, List.of("m1", "m2"), SHARING_WITH_EXPERIMENT, true, false)) {
            awaitExperiment(fleet, 0);
            String before = fleet.admin(0, "experiments").split(" ")[0];
            fleet.writeOperatorFile(0, SHARING_WITH_EXPERIMENT.replace("worse: 0.05", "worse: 0.01"));
            fleet.signal(0, "HUP");
            await(
                    "experiment restarted",
                    () -> !fleet.admin(0, "experiments").split(" ")[0].equals(before)
                            && fleet.admin(0, "experiments").contains("share=0.5"));
            assertTrue(fleet.log(0), fleet.log(0).contains("experiment-changed"));
            fleet.writeOperatorFile(0, SHARING_WITH_EXPERIMENT.replace("error: 0.05", "error: 0"));
            fleet.signal(0, "HUP");
            await(
                    "reload rejected",
                    () -> fleet.log(0).contains("fleet-reload-failed")
                            && fleet.log(0).contains("ERROR_OUT_OF_RANGE"));
            assertTrue(fleet.admin(0, "experiments").contains("release-12"));
            // The experiment is removed while a server works on one of its sessions, which ends as usual; close()
            // checks
            // the log for faults.
            CountDownLatch reachedServer = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            for (int server = 0; server < 2; server++) {
                fleet.script(server, exchange -> {
                    reachedServer.countDown();
                    SmallFleet.awaitRelease(release);
                    return 200;
                });
            }
            CompletableFuture<Integer> answer =
                    CompletableFuture.supplyAsync(() -> SmallFleet.unchecked(() -> fleet.view(0)));
            assertTrue(reachedServer.await(30, TimeUnit.SECONDS));
            fleet.writeOperatorFile(0, SHARING_ONLY);
            fleet.signal(0, "HUP");
            await("experiment removed", () -> fleet.log(0).contains("experiment-ends"));
            release.countDown();
            assertTrue(List.of(200, 502, 504).contains(answer.get(30, TimeUnit.SECONDS)));
            await("none", () -> fleet.admin(0, "experiments").trim().equals("none"));
        }
    }

    /**
     * Guards against an operator's file that is checked against the old settings when both it and the settings are
     * reloaded on the same SIGHUP.
     */
    @Test
    public void aClassAndAnExperimentOnItAreLoadedByOneHangup() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 16, List.of("m1", "m2"), SHARING_ONLY, true, false)) {
            Path config = fleet.folder.resolve("n0.json");
            Files.writeString(config, Files.readString(config).replace("\"name\":\"order\"", "\"name\":\"lend\""));
            fleet.writeOperatorFile(0, SHARING_WITH_EXPERIMENT.replace("order", "lend"));
            fleet.signal(0, "HUP");
            await(
                    "experiment begun, or reload rejected",
                    () -> fleet.log(0).contains("fleet-reload-failed")
                            || fleet.admin(0, "experiments").contains("share=0.5"));
            assertTrue(fleet.log(0), !fleet.log(0).contains("fleet-reload-failed"));
        }
    }

    @Test
    public void withoutPeersInTheSettingsNoSocketIsOpenedAndNoThreadStarted() throws Exception {
        try (SmallFleet fleet = new SmallFleet(1, 7, List.of("m1"), SHARING_ONLY, false, false)) {
            assertEquals(200, fleet.view(0));
            assertEquals("off", fleet.admin(0, "fleet").trim());
            assertTrue(fleet.log(0), fleet.log(0).contains("fleet-off"));
            long pid = fleet.pid(0);
            try (var threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
                assertTrue(threads.noneMatch(task -> isNamed(task, "fleet")));
            }
            // A UDP socket of the process would be listed with the port that its operator's file names.
            String udp = Files.readString(Path.of("/proc/" + pid + "/net/udp"))
                    + Files.readString(Path.of("/proc/" + pid + "/net/udp6"));
            assertTrue(
                    udp,
                    !udp.contains(String.format(
                            ":%04X ", fleet.proxy.processAddress(0).getPort())));
        }
    }

    private static boolean isNamed(Path task, String name) {
        try {
            return Files.readString(task.resolve("comm")).trim().startsWith(name);
        } catch (java.io.IOException e) {
            // The thread has just ended.
            return false;
        }
    }
}
