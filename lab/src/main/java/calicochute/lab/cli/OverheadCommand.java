package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.emulator.OverheadRun;
import calicochute.lab.emulator.OverheadRun.Result;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * Measures what a balancer adds: the same requests are sent directly, through a bare relay and through the balancer in
 * one run. The ratios are meaningful, the absolute figures depend on the machine.
 */
@Parameters(commandDescription = "Measure the overhead of a balancer, compared with a bare relay")
final class OverheadCommand implements CommandLine.Command {
    @Parameter(names = "--rate", description = "Requests a second")
    private double rate = 300;

    @Parameter(names = "--seconds", description = "Seconds on each route in a round")
    private int seconds = 5;

    @Parameter(names = "--rounds", description = "Rounds over the three routes")
    private int rounds = 3;

    @Parameter(names = "--together", description = "Concurrent requests while the highest rate is measured")
    private int together = 128;

    @Parameter(names = "--out", description = "The folder for the result")
    private String out = "lab-results/overhead";

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (rate <= 0 || rate > 20_000 || seconds < 1 || rounds < 1 || together < 1) {
            throw new ParameterException("--rate must be between 0 and 20000, and the other numbers at least 1");
        }
        String text = BundledScenarios.read("overhead.yaml");
        Path folder = Path.of(out);
        List<Result> results = new OverheadRun(
                        ScenarioReader.parse("overhead.yaml", text),
                        folder,
                        options.balancers(),
                        List.of(
                                System.getProperty("java.home") + "/bin/java",
                                "-XX:+UseSerialGC",
                                "-Xmx96m",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "calicochute.lab.cli.LabMain",
                                "lab",
                                "relay"))
                .run(rate, seconds, rounds, together);
        Console console = Console.standard();
        Result direct = results.get(0);
        Result relay = results.get(1);
        console.print(String.format(
                Locale.ROOT, "%d rounds of %d s on each route, %.0f requests a second", rounds, seconds, rate));
        console.print(String.format(
                Locale.ROOT,
                "%-10s %9s %7s %8s %8s %10s %10s %12s %9s %14s",
                "route",
                "requests",
                "failed",
                "p50 ms",
                "p99 ms",
                "added p50",
                "added p99",
                "CPU us/req",
                "memory MB",
                "most req/s, 1 core"));
        for (Result r : results) {
            console.print(String.format(
                    Locale.ROOT,
                    "%-10s %9d %7d %8.3f %8.3f %10.3f %10.3f %12.1f %9.1f %14.0f",
                    r.route(),
                    r.requests(),
                    r.failed(),
                    r.p50(),
                    r.p99(),
                    r.p50() - direct.p50(),
                    r.p99() - direct.p99(),
                    r.cpuMicros(),
                    r.residentMb(),
                    r.highestRate()));
        }
        Result balancer = results.get(2);
        console.print(String.format(
                Locale.ROOT,
                "balancer to relay: added p50 x%.2f, added p99 x%.2f, CPU x%.2f, memory " + "x%.2f, highest rate x%.2f",
                (balancer.p50() - direct.p50()) / (relay.p50() - direct.p50()),
                (balancer.p99() - direct.p99()) / (relay.p99() - direct.p99()),
                balancer.cpuMicros() / relay.cpuMicros(),
                balancer.residentMb() / relay.residentMb(),
                balancer.highestRate() / relay.highestRate()));
        try (CSVPrinter csv = CSVFormat.RFC4180
                .builder()
                .setHeader("way", "requests", "failed", "p50_ms", "p99_ms", "cpu_us", "memory_mb", "highest_rate")
                .get()
                .print(Files.newBufferedWriter(folder.resolve("overhead.csv")))) {
            for (Result r : results) {
                csv.printRecord(
                        r.route(),
                        r.requests(),
                        r.failed(),
                        r.p50(),
                        r.p99(),
                        r.cpuMicros(),
                        r.residentMb(),
                        r.highestRate());
            }
        }
    }
}
