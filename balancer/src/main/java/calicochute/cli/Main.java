package calicochute.cli;

import java.util.TimeZone;

/** Command line entry of the balancer: its sub-commands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // The log's backend writes times in the default zone: one log of many machines is read by UTC.
        TimeZone.setDefault(TimeZone.getTimeZone("UTC"));
        int status = new CommandLine("calicochute")
                .command("serve", new ServeCommand())
                .command("wirehost", new WireHostCommand())
                .command("check", new CheckCommand())
                .command("rehearse", new RehearseCommand())
                .command("version", new VersionCommand())
                .run(args);
        // A command that goes on in threads of its own has returned by now: only a failure ends the program here.
        if (status != CommandLine.DONE) {
            System.exit(status);
        }
    }
}
