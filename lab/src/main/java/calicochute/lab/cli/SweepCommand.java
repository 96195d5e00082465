package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.FieldChange;
import calicochute.lab.experiment.Runner;
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

/** Plays a scenario once for each value of one of its fields. */
@Parameters(commandDescription = "Play a scenario with one of its fields at each of several values")
final class SweepCommand implements CommandLine.Command {
    @Parameter(description = "SCENARIO.yaml", required = true)
    private String scenario;

    @Parameter(
            names = "--field",
            description = "The field, such as load.utilisation or troubles[0].factor",
            required = true)
    private String field;

    @Parameter(names = "--over", description = "Its values, with commas between", required = true)
    private List<String> values = new ArrayList<>();

    @Parameter(names = "--out", description = "The folder for the results")
    private String out = "lab-results/sweep";

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (values.size() < 2) {
            throw new ParameterException("--over needs two values at least");
        }
        Path file = Path.of(scenario);
        String yaml = Files.readString(file);
        // All before the first is played: a value that can't be is told at once.
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        for (String value : values) {
            scenarios.put(value, new FieldChange(field, value).apply(file.toString(), yaml));
        }
        Console console = Console.standard();
        Runner runner = new Runner(options.balancers(), console);
        Map<String, RunResult> results = new LinkedHashMap<>();
        for (var one : scenarios.entrySet()) {
            console.say(field + " = " + one.getKey());
            results.put(
                    one.getKey(),
                    runner.run(
                            one.getValue(),
                            options.seed,
                            Path.of(out).resolve(one.getKey().replaceAll("[^A-Za-z0-9.-]", "_"))));
        }
        console.say(String.format(
                Locale.ROOT,
                "%n%-16s %8s %8s %8s %8s %10s %9s",
                field,
                "service",
                "denied",
                "failed",
                "late",
                "p99 ms",
                "breaches"));
        results.forEach((value, r) -> console.say(String.format(
                Locale.ROOT,
                "%-16s %8.4f %8.4f %8.4f %8.4f %10.1f %9d%s",
                value,
                r.figures().get("service"),
                r.figures().get("denied"),
                r.figures().get("failed"),
                r.figures().get("late"),
                r.figures().get("latency_p99_ms_all"),
                r.breaches().size(),
                r.counts() ? "" : "  (does not count)")));
        SweepReport.write(Path.of(out), field, results);
        console.say("report: " + Path.of(out, "sweep.html"));
    }
}
