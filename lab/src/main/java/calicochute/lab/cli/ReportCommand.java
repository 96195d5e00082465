package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.report.Report;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;

/** Writes the report of a run again from its result. */
@Parameters(commandDescription = "Write the report of a run's folder again and print its figures")
final class ReportCommand implements CommandLine.Command {
    @Parameter(description = "DIR (of a run)", required = true)
    private String folder;

    @Override
    public void run() throws Exception {
        Path runFolder = Path.of(folder);
        RunResult result = RunFolder.read(runFolder);
        Report.write(runFolder, result);
        Console console = Console.standard();
        console.printResult(result);
        console.print("report: " + runFolder.resolve(Report.FILE_NAME));
    }
}
