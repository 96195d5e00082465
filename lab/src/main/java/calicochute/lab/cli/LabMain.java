package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import java.util.Arrays;

/** Entry point of the lab's command line: {@code demo}, and {@code lab} with its subcommands. */
public final class LabMain {
    private LabMain() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        if (args.length > 0 && args[0].equals("lab")) {
            return new CommandLine("calicochute lab")
                    .command("run", new RunCommand())
                    .command("replay", new ReplayCommand())
                    .command("compare", new CompareCommand())
                    .command("sweep", new SweepCommand())
                    .command("report", new ReportCommand())
                    .command("overhead", new OverheadCommand())
                    .command("relay", new RelayCommand())
                    .run(Arrays.copyOfRange(args, 1, args.length));
        }
        return new CommandLine("calicochute").command("demo", new DemoCommand()).run(args);
    }
}
