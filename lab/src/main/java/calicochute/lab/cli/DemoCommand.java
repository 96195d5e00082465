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

/** The first thing a newcomer runs: a small deployment, and a slowdown in the middle. */
@Parameters(commandDescription = "Rehearse two tiers with a slowdown in the middle")
final class DemoCommand implements CommandLine.Command {
    private static final int LEAST = 5;
    private static final int MOST = 300;

    @Parameter(names = "--seconds", description = "How long requests come (5 to 300)")
    private int seconds = 12;

    @Parameter(names = "--out", description = "The folder for the result")
    private String out = "lab-results/demo";

    @ParametersDelegate
    private final RunOptions options = new RunOptions();

    @Override
    public void run() throws Exception {
        if (seconds < LEAST || seconds > MOST) {
            throw new ParameterException("--seconds must lie between " + LEAST + " and " + MOST);
        }
        String text = Packaged.scenario("demo.yaml");
        text = text.replace("LENGTH", seconds + "s")
                .replace("FROM", String.format(Locale.ROOT, "%.1fs", seconds / 3.0))
                .replace("LASTS", String.format(Locale.ROOT, "%.1fs", seconds / 3.0));
        RunResult result = RunCommand.play(ScenarioReader.parse("demo.yaml", text), options, Path.of(out));
        // A busy machine voids the figures, which the table says; it does not make the demo a failure.
        if (result.ended() != null || !result.breaches().isEmpty()) {
            RunCommand.judge(result);
        }
    }
}
