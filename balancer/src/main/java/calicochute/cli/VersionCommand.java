package calicochute.cli;

import com.beust.jcommander.Parameters;

/** Prints the version from the jar's manifest. */
@Parameters(commandDescription = "Print the version")
final class VersionCommand implements CommandLine.Command {
    @Override
    public void run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("calicochute " + (version == null ? "development" : version));
    }
}
