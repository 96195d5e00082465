package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.FieldChange;
import calicochute.lab.experiment.ScenarioRunner;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;

/** Runs a scenario once. */
@Parameters(commandDescription = "Run a scenario once and write its tables and its report")
final class RunCommand implements CommandLine.Command {
    @Parameter(description = "SCENARIO.yaml", required = true)
    private String scenario;

    @Parameter(names = "--out", description = "The folder for the result (default: lab-results/<scenario>-<seed>)")
    private String out;

    @Parameter(
            names = "--balancers",
            description = "Number of balancers that clients send to, in place of the scenario's;"
                    + " each server that calls a further tier has one of its own in addition")
    private Integer balancers;

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        Path file = Path.of(scenario);
        Scenario parsedScenario = ScenarioReader.read(file);
        if (balancers != null) {
            parsedScenario = new FieldChange("balancers.count", balancers.toString())
                    .apply(scenario, ScenarioReader.write(parsedScenario));
        }
        Path folder = out != null ? Path.of(out) : defaultFolder(file, options.seed);
        requireUsable(runAndPrint(parsedScenario, options, folder));
    }

    static Path defaultFolder(Path scenario, long seed) {
        return Path.of("lab-results", scenario.getFileName().toString().replaceFirst("\\.ya?ml$", "") + "-" + seed);
    }

    static RunResult runAndPrint(Scenario scenario, RunOptions options, Path folder) throws Exception {
        Console console = Console.standard();
        RunResult result = new ScenarioRunner(options.balancers(), console).run(scenario, options.seed, folder);
        console.printResult(result);
        console.print("report: " + folder.resolve("report.html"));
        return result;
    }

    /** Fails the command if the figures of the run may not be used or a rule was violated. */
    static void requireUsable(RunResult result) throws Exception {
        if (!result.usable()) {
            throw new Exception(
                    "the run does not count: " + (result.ended() == null ? result.invalid() : result.ended()));
        }
        if (!result.breaches().isEmpty()) {
            throw new Exception(result.breaches().size() + " broken rules");
        }
    }
}
