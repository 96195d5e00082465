package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.Locale;

/** Runs a small bundled scenario with a slowdown in the middle, as an introduction to the lab. */
@Parameters(commandDescription = "Run a demonstration: two tiers with a slowdown in the middle")
final class DemoCommand implements CommandLine.Command {
    private static final int MIN_SECONDS = 5;
    private static final int MAX_SECONDS = 300;

    @Parameter(names = "--seconds", description = "Length of the run (5 to 300)")
    private int seconds = 12;

    @Parameter(names = "--out", description = "The folder for the result")
    private String out = "lab-results/demo";

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
            throw new ParameterException("--seconds must be between " + MIN_SECONDS + " and " + MAX_SECONDS);
        }
        String text = BundledScenarios.read("demo.yaml");
        text = text.replace("LENGTH", seconds + "s")
                .replace("FROM", String.format(Locale.ROOT, "%.1fs", seconds / 3.0))
                .replace("LASTS", String.format(Locale.ROOT, "%.1fs", seconds / 3.0));
        RunResult result = RunCommand.runAndPrint(ScenarioReader.parse("demo.yaml", text), options, Path.of(out));
        // A busy machine makes the figures void; the output says so, but the demo does not fail for it.
        if (result.ended() != null || !result.breaches().isEmpty()) {
            RunCommand.requireUsable(result);
        }
    }
}
