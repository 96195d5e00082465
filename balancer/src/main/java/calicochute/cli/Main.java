package calicochute.cli;

import java.util.TimeZone;

/** Entry point of the balancer's command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // The log backend writes times in the default zone; UTC makes the logs of several machines comparable.
        TimeZone.setDefault(TimeZone.getTimeZone("UTC"));
        int status = new CommandLine("calicochute")
                .command("serve", new ServeCommand())
                .command("wirehost", new WireHostCommand())
                .command("check", new CheckCommand())
                .command("rehearse", new RehearseCommand())
                .command("version", new VersionCommand())
                .run(args);
        // A command that serves has returned while its threads go on, so the process must not exit here on success.
        if (status != CommandLine.DONE) {
            System.exit(status);
        }
    }
}
