package calicochute.cli;

import calicochute.settings.Configuration;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Reads a configuration as serve would and says what it found. */
@Parameters(commandDescription = "Check a configuration without serving")
final class CheckCommand implements CommandLine.Command {
    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();

    @Override
    public void run() throws Exception {
        Configuration told = configuration.read();
        System.out.println(told.name() + ": tier " + told.settings().tier() + ", listens at " + told.listen()
            + ", discovery at " + told.discovery() + ", " + told.settings().classes().size() + " classes, "
            + told.settings().tenants().size() + " tenants");
    }
}
