package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.FieldChange;
import calicochute.lab.experiment.Runner;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;

/** Plays a scenario once. */
@Parameters(commandDescription = "Play a scenario once and keep its tables and its report")
final class RunCommand implements CommandLine.Command {
    @Parameter(description = "SCENARIO.yaml", required = true)
    private String scenario;

    @Parameter(names = "--out", description = "The folder for the result (default: lab-results/<scenario>-<seed>)")
    private String out;

    @Parameter(
            names = "--balancers",
            description = "How many balancers clients send to, in place of the scenario's;"
                    + " each server that calls on has one of its own beside them")
    private Integer balancers;

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        Path file = Path.of(scenario);
        Scenario read = ScenarioReader.read(file);
        if (balancers != null) {
            read = new FieldChange("balancers.count", balancers.toString()).apply(scenario, ScenarioReader.write(read));
        }
        Path folder = out != null ? Path.of(out) : folder(file, options.seed);
        judge(play(read, options, folder));
    }

    static Path folder(Path scenario, long seed) {
        return Path.of("lab-results", scenario.getFileName().toString().replaceFirst("\\.ya?ml$", "") + "-" + seed);
    }

    static RunResult play(Scenario scenario, RunOptions options, Path folder) throws Exception {
        Console console = Console.standard();
        RunResult result = new Runner(options.balancers(), console).run(scenario, options.seed, folder);
        console.table(result);
        console.say("report: " + folder.resolve("report.html"));
        return result;
    }

    /** A run that does not count, or in which a rule was broken, is a failure. */
    static void judge(RunResult result) throws Exception {
        if (!result.counts()) {
            throw new Exception(
                    "the run does not count: " + (result.ended() == null ? result.invalid() : result.ended()));
        }
        if (!result.breaches().isEmpty()) {
            throw new Exception(result.breaches().size() + " broken rules");
        }
    }
}
