package calicochute.lab.experiment;

import calicochute.lab.emulator.Emulation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Locates the installation and the command that starts a balancer: "run" in deploy/balancer.toml. */
public final class Installation {
    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    private Installation() {}

    /**
     * Returns the folder that contains the deploy file: the one that the launcher names in a system property, else the
     * working directory, or the nearest parent of it.
     */
    public static Path root() throws IOException {
        String launcherRoot = System.getProperty("calicochute.root");
        Path start = Path.of(launcherRoot == null ? "" : launcherRoot).toAbsolutePath();
        for (Path folder = start; folder != null; folder = folder.getParent()) {
            if (Files.isRegularFile(folder.resolve(DEPLOY_FILE))) {
                return folder;
            }
        }
        throw new DeploymentException(DEPLOY_FILE, "is neither in " + start + " nor above it");
    }

    /** Returns how balancers are started: by the given command, or as deployed if it is null. */
    public static Emulation.BalancerCommand balancers(String command) throws IOException {
        Path root = root();
        if (command != null) {
            return new Emulation.BalancerCommand(command, root);
        }
        Path file = root.resolve(DEPLOY_FILE);
        JsonNode run = new TomlMapper().readTree(file.toFile()).get("run");
        if (run == null || run.asText().isBlank()) {
            throw new DeploymentException(file.toString(), "run: is missing");
        }
        return new Emulation.BalancerCommand(run.asText(), root);
    }
}
