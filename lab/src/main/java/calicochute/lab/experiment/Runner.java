package calicochute.lab.experiment;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.report.Report;
import calicochute.lab.result.Measured;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs a scenario once and writes its folder. An interrupt leaves no process behind and a result marked as partial. */
public final class Runner {
    private static final long LAST_WORDS_S = 10;
    private final Emulation.BalancerCommand balancers;
    private final Emulation.Progress progress;

    public Runner(Emulation.BalancerCommand balancers, Emulation.Progress progress) {
        this.balancers = balancers;
        this.progress = progress;
    }

    public RunResult run(Scenario scenario, long seed, Path out) throws IOException, InterruptedException {
        Files.createDirectories(out);
        Path logs = out.resolve("balancers");
        if (Files.isDirectory(logs)) {
            // Logs are appended to at restarts within a run, never from one run to the next.
            try (var old = Files.list(logs)) {
                for (Path file : old.toList()) {
                    Files.delete(file);
                }
            }
        }
        Emulation emulation = new Emulation(scenario, seed, logs, balancers, progress);
        CountDownLatch written = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    emulation.abort("interrupted");
                    try {
                        written.await(LAST_WORDS_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    emulation.destroy();
                },
                "interrupted");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            RunResult result = Measured.of(emulation.run());
            RunFolder.write(out, result, ScenarioReader.write(scenario));
            Report.write(out, result);
            return result;
        } finally {
            written.countDown();
            removeHook(hook);
        }
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The program is being ended: the hook runs.
        }
    }
}
