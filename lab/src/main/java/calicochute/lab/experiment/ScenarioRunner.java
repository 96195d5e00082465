package calicochute.lab.experiment;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.report.Report;
import calicochute.lab.result.RunAnalysis;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a scenario once and writes its folder. An interrupt stops all balancer processes and leaves a result that is
 * marked as partial.
 */
public final class ScenarioRunner {
    /** How long the shutdown hook waits for the partial result to be written. */
    private static final long RESULT_WRITE_TIMEOUT_SECONDS = 10;

    private final Emulation.BalancerCommand balancers;
    private final Emulation.Progress progress;

    public ScenarioRunner(Emulation.BalancerCommand balancers, Emulation.Progress progress) {
        this.balancers = balancers;
        this.progress = progress;
    }

    /** Runs the scenario with a seed and writes result, tables and report to the folder {@code out}. */
    public RunResult run(Scenario scenario, long seed, Path out) throws IOException, InterruptedException {
        Files.createDirectories(out);
        Path logs = out.resolve("balancers");
        if (Files.isDirectory(logs)) {
            // A restarted balancer appends to its log, so the logs of an earlier run are deleted.
            try (var oldLogs = Files.list(logs)) {
                for (Path file : oldLogs.toList()) {
                    Files.delete(file);
                }
            }
        }
        Emulation emulation = new Emulation(scenario, seed, logs, balancers, progress);
        CountDownLatch resultWritten = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    emulation.abort("interrupted");
                    try {
                        resultWritten.await(RESULT_WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    emulation.destroy();
                },
                "interrupted");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            RunResult result = RunAnalysis.of(emulation.run());
            RunFolder.write(out, result, ScenarioReader.write(scenario));
            Report.write(out, result);
            return result;
        } finally {
            resultWritten.countDown();
            removeHook(hook);
        }
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down, so the hook is already running.
        }
    }
}
