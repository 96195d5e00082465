package calicochute.node;

import calicochute.decision.Balancer;
import calicochute.errors.CodedError;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.Fleet;
import calicochute.fleet.FleetException;
import calicochute.fleet.FleetParticipant;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFile;
import calicochute.operator.OperatorFileException;
import calicochute.operator.OperatorFileReader;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsHistory;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Creates this balancer's participation in a fleet, if there is an operator's file that asks for it and the settings
 * allow messages between balancers.
 */
public final class FleetFactory {
    /** The environment variable with the path of the operator's file. */
    public static final String ENVIRONMENT_VARIABLE = "PROXY_FLEET";

    private FleetFactory() {}

    /** An invalid file or an unusable address is logged; the balancer then serves without a fleet. */
    static FleetParticipant create(
            Configuration configuration,
            DecisionQueue queue,
            Supplier<SettingsHistory> settings,
            Consumer<Balancer.Event> module) {
        String fileName = System.getenv(ENVIRONMENT_VARIABLE);
        if (fileName == null || fileName.isEmpty()) {
            return FleetParticipant.OFF;
        }
        if (!configuration.settings().limits().peers()) {
            Log.warn(
                    "fleet-off",
                    "the settings forbid messages between balancers (caps.peers); " + ENVIRONMENT_VARIABLE
                            + " is not read");
            return FleetParticipant.OFF;
        }
        Path path = Path.of(fileName);
        try {
            OperatorFile file =
                    OperatorFileReader.read(path, configuration.name(), configuration.settings(), List.of());
            if (!file.needsPeers()) {
                Log.info("fleet-off", "neither shared outcomes nor experiments are configured");
                return FleetParticipant.OFF;
            }
            return new Fleet(
                    file,
                    queue,
                    configuration.settings().seed(),
                    () -> reread(path, configuration, settings.get()),
                    () -> settings.get().classes(),
                    () -> settings.get().tenants(),
                    module);
        } catch (OperatorFileException | FleetException e) {
            Log.warn("fleet-off", ((CodedError) e).text());
            return FleetParticipant.OFF;
        }
    }

    private static OperatorFile reread(Path path, Configuration configuration, SettingsHistory settings) {
        try {
            return OperatorFileReader.read(path, configuration.name(), settings.forDecisionModule(), List.of());
        } catch (OperatorFileException e) {
            Log.warn("fleet-reload-failed", e.text());
            return null;
        }
    }
}
