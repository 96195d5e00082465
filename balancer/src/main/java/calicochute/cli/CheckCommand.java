package calicochute.cli;

import calicochute.decision.Balancer.Backend;
import calicochute.discovery.ServerList;
import calicochute.node.FleetFactory;
import calicochute.operator.OperatorFile;
import calicochute.operator.OperatorFileReader;
import calicochute.settings.Configuration;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.List;

/** Reads a configuration as serve would and says what it found. */
@Parameters(commandDescription = "Check a configuration without serving")
final class CheckCommand implements CommandLine.Command {
    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();

    @Override
    public void run() throws Exception {
        Configuration told = configuration.read();
        System.out.println(told.name() + ": tier " + told.settings().tier() + ", listens at " + told.listen()
                + ", discovery at " + told.discovery() + ", "
                + told.settings().classes().size() + " classes, "
                + told.settings().tenants().size() + " tenants");
        String named = System.getenv(FleetFactory.ENVIRONMENT_VARIABLE);
        if (named != null && !named.isEmpty()) {
            List<Backend> servers = told.known().isEmpty()
                    ? List.of()
                    : ServerList.parse(told.known()).entries();
            OperatorFile file = OperatorFileReader.read(Path.of(named), told.name(), told.settings(), servers);
            System.out.println(named + ": cluster " + file.cluster() + ", " + file.me() + " of "
                    + file.peers().size() + " peers at " + file.listen()
                    + ", outcomes " + (file.share() ? "shared" : "kept") + ", "
                    + file.experiments().size() + " experiments"
                    + (told.settings().limits().peers()
                            ? ""
                            : "; off, since the settings forbid talk between balancers (caps.peers)"));
        }
    }
}
