package calicochute.lab.experiment;

import calicochute.lab.emulator.Emulation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Where the program's own files are, and how its balancers are started: as "run" in deploy/balancer.toml says. */
public final class Installation {
    private static final String DEPLOY = "deploy/balancer.toml";

    private Installation() {}

    /** The folder that the launcher names, else the nearest one upward that holds the deploy file. */
    public static Path root() throws IOException {
        String named = System.getProperty("calicochute.root");
        Path folder = Path.of(named == null ? "" : named).toAbsolutePath();
        for (Path at = folder; at != null; at = at.getParent()) {
            if (Files.isRegularFile(at.resolve(DEPLOY))) {
                return at;
            }
        }
        throw new DeploymentException(DEPLOY, "is neither in " + folder + " nor above it");
    }

    /** Balancers as deployed, or by a command that is given in its place. */
    public static Emulation.BalancerCommand balancers(String command) throws IOException {
        Path root = root();
        if (command != null) {
            return new Emulation.BalancerCommand(command, root);
        }
        Path file = root.resolve(DEPLOY);
        JsonNode run = new TomlMapper().readTree(file.toFile()).get("run");
        if (run == null || run.asText().isBlank()) {
            throw new DeploymentException(file.toString(), "run: is missing");
        }
        return new Emulation.BalancerCommand(run.asText(), root);
    }
}
