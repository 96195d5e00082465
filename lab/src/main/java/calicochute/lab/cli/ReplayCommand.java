package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.ScenarioRunner;
import calicochute.lab.experiment.Spread;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Repeats a run with the same scenario and seed several times and prints the spread of each figure. */
@Parameters(commandDescription = "Repeat the run of a folder several times and print the spread of each figure")
final class ReplayCommand implements CommandLine.Command {
    @Parameter(description = "DIR (of a run)", required = true)
    private String folder;

    @Parameter(names = "--times", description = "Number of repetitions")
    private int times = 5;

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (times < 1 || times > 1000) {
            throw new ParameterException("--times must be between 1 and 1000");
        }
        Path runFolder = Path.of(folder);
        long seed = RunFolder.read(runFolder).seed();
        Scenario scenario = ScenarioReader.read(runFolder.resolve("scenario.yaml"));
        Console console = Console.standard();
        ScenarioRunner runner = new ScenarioRunner(options.balancers(), console);
        List<RunResult> runs = new ArrayList<>();
        int breaches = 0;
        for (int i = 1; i <= times; i++) {
            console.print("replay " + i + " of " + times);
            RunResult result =
                    runner.run(scenario, seed, runFolder.resolve("replays").resolve("replay-" + i));
            breaches += result.breaches().size();
            if (result.usable()) {
                runs.add(result);
            } else {
                console.print("does not count: " + (result.ended() == null ? result.invalid() : result.ended()));
            }
        }
        if (runs.isEmpty()) {
            throw new Exception("no replay counts");
        }
        console.print(String.format(
                Locale.ROOT,
                "%n  %-44s %10s %10s %10s %9s   (%d of %d replays count)",
                "figure",
                "lowest",
                "median",
                "highest",
                "spread",
                runs.size(),
                times));
        for (Spread s : Spread.of(runs)) {
            console.print(String.format(
                    Locale.ROOT,
                    "  %-44s %10s %10s %10s %8.2f%%",
                    s.figure(),
                    Console.format(s.lowest()),
                    Console.format(s.median()),
                    Console.format(s.highest()),
                    100 * s.relativeRange()));
        }
        if (breaches > 0) {
            throw new Exception(breaches + " broken rules");
        }
    }
}
