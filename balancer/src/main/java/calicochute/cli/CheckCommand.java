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

/** Reads the configuration, and the operator's file if one is set, as {@code serve} does and prints a summary. */
@Parameters(commandDescription = "Check a configuration without serving")
final class CheckCommand implements CommandLine.Command {
    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();

    @Override
    public void run() throws Exception {
        Configuration config = configuration.read();
        System.out.println(config.name() + ": tier " + config.settings().tier() + ", listens at " + config.listen()
                + ", discovery at " + config.discovery() + ", "
                + config.settings().classes().size() + " classes, "
                + config.settings().tenants().size() + " tenants");
        String operatorFile = System.getenv(FleetFactory.ENVIRONMENT_VARIABLE);
        if (operatorFile != null && !operatorFile.isEmpty()) {
            List<Backend> servers = config.known().isEmpty()
                    ? List.of()
                    : ServerList.parse(config.known()).entries();
            OperatorFile file =
                    OperatorFileReader.read(Path.of(operatorFile), config.name(), config.settings(), servers);
            System.out.println(operatorFile + ": cluster " + file.cluster() + ", " + file.me() + " of "
                    + file.peers().size() + " peers at " + file.listen()
                    + ", outcomes " + (file.share() ? "shared" : "kept") + ", "
                    + file.experiments().size() + " experiments"
                    + (config.settings().limits().peers()
                            ? ""
                            : "; off, since the settings forbid talk between balancers (caps.peers)"));
        }
    }
}
