package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.report.Report;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;

/** Draws a run's page again from its result. */
@Parameters(commandDescription = "Draw the report of a run's folder again, and print its table")
final class ReportCommand implements CommandLine.Command {
    @Parameter(description = "DIR (of a run)", required = true)
    private String folder;

    @Override
    public void run() throws Exception {
        Path at = Path.of(folder);
        RunResult result = RunFolder.read(at);
        Report.write(at, result);
        Console console = Console.standard();
        console.table(result);
        console.say("report: " + at.resolve(Report.FILE));
    }
}
