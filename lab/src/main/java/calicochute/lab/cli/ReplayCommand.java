package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.Runner;
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

/** Plays a run's incident again, several times, and says how far each figure lies apart. */
@Parameters(commandDescription = "Play the incident of a run's folder again and print each figure's spread")
final class ReplayCommand implements CommandLine.Command {
    @Parameter(description = "DIR (of a run)", required = true)
    private String folder;

    @Parameter(names = "--times", description = "How often")
    private int times = 5;

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (times < 1 || times > 1000) {
            throw new ParameterException("--times must lie between 1 and 1000");
        }
        Path base = Path.of(folder);
        long seed = RunFolder.read(base).seed();
        Scenario scenario = ScenarioReader.read(base.resolve("scenario.yaml"));
        Console console = Console.standard();
        Runner runner = new Runner(options.balancers(), console);
        List<RunResult> runs = new ArrayList<>();
        int breaches = 0;
        for (int i = 1; i <= times; i++) {
            console.say("replay " + i + " of " + times);
            RunResult result =
                    runner.run(scenario, seed, base.resolve("replays").resolve("replay-" + i));
            breaches += result.breaches().size();
            if (result.counts()) {
                runs.add(result);
            } else {
                console.say("does not count: " + (result.ended() == null ? result.invalid() : result.ended()));
            }
        }
        if (runs.isEmpty()) {
            throw new Exception("no replay counts");
        }
        console.say(String.format(
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
            console.say(String.format(
                    Locale.ROOT,
                    "  %-44s %10s %10s %10s %8.2f%%",
                    s.figure(),
                    Console.figure(s.lowest()),
                    Console.figure(s.median()),
                    Console.figure(s.highest()),
                    100 * s.share()));
        }
        if (breaches > 0) {
            throw new Exception(breaches + " broken rules");
        }
    }
}
