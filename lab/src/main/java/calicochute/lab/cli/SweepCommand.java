package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.FieldChange;
import calicochute.lab.experiment.ScenarioRunner;
import calicochute.lab.report.SweepReport;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Runs a scenario once for each of several values of one of its fields. */
@Parameters(commandDescription = "Run a scenario with each of several values of one of its fields")
final class SweepCommand implements CommandLine.Command {
    @Parameter(description = "SCENARIO.yaml", required = true)
    private String scenario;

    @Parameter(
            names = "--field",
            description = "The field, such as load.utilisation or troubles[0].factor",
            required = true)
    private String field;

    @Parameter(names = "--over", description = "The values, separated by commas", required = true)
    private List<String> values = new ArrayList<>();

    @Parameter(names = "--out", description = "The folder for the results")
    private String out = "lab-results/sweep";

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (values.size() < 2) {
            throw new ParameterException("--over needs at least two values");
        }
        Path file = Path.of(scenario);
        String yaml = Files.readString(file);
        // All scenarios are parsed before the first run, so that an invalid value is reported at once.
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        for (String value : values) {
            scenarios.put(value, new FieldChange(field, value).apply(file.toString(), yaml));
        }
        Console console = Console.standard();
        ScenarioRunner runner = new ScenarioRunner(options.balancers(), console);
        Map<String, RunResult> results = new LinkedHashMap<>();
        for (var entry : scenarios.entrySet()) {
            console.print(field + " = " + entry.getKey());
            results.put(
                    entry.getKey(),
                    runner.run(
                            entry.getValue(),
                            options.seed,
                            Path.of(out).resolve(entry.getKey().replaceAll("[^A-Za-z0-9.-]", "_"))));
        }
        console.print(String.format(
                Locale.ROOT,
                "%n%-16s %8s %8s %8s %8s %10s %9s",
                field,
                "service",
                "denied",
                "failed",
                "late",
                "p99 ms",
                "breaches"));
        results.forEach((value, r) -> console.print(String.format(
                Locale.ROOT,
                "%-16s %8.4f %8.4f %8.4f %8.4f %10.1f %9d%s",
                value,
                r.figures().get("service"),
                r.figures().get("denied"),
                r.figures().get("failed"),
                r.figures().get("late"),
                r.figures().get("latency_p99_ms_all"),
                r.breaches().size(),
                r.usable() ? "" : "  (does not count)")));
        SweepReport.write(Path.of(out), field, results);
        console.print("report: " + Path.of(out, "sweep.html"));
    }
}
