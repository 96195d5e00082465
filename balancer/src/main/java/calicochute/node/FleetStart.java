package calicochute.node;

import calicochute.decision.Balancer;
import calicochute.errors.CodedError;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.Fleet;
import calicochute.fleet.FleetException;
import calicochute.fleet.FleetPart;
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
 * Whether this balancer takes part in a fleet: where the operator's file names one and the settings allow talk between
 * balancers.
 */
public final class FleetStart {
    /** Names the operator's file. */
    public static final String VARIABLE = "PROXY_FLEET";

    private FleetStart() {}

    /** What can't be used is said and leaves the balancer alone: it serves all the same. */
    static FleetPart of(
            Configuration configuration,
            DecisionQueue queue,
            Supplier<SettingsHistory> succession,
            Consumer<Balancer.Event> module) {
        String named = System.getenv(VARIABLE);
        if (named == null || named.isEmpty()) {
            return FleetPart.OFF;
        }
        if (!configuration.settings().limits().peers()) {
            Log.warn(
                    "fleet-off",
                    "the settings forbid talk between balancers (caps.peers); " + VARIABLE + " is not read");
            return FleetPart.OFF;
        }
        Path path = Path.of(named);
        try {
            OperatorFile file =
                    OperatorFileReader.read(path, configuration.name(), configuration.settings(), List.of());
            if (!file.needsPeers()) {
                Log.info("fleet-off", "neither shared outcomes nor experiments are asked for");
                return FleetPart.OFF;
            }
            return new Fleet(
                    file,
                    queue,
                    configuration.settings().seed(),
                    () -> again(path, configuration, succession.get()),
                    () -> succession.get().classes(),
                    () -> succession.get().tenants(),
                    module);
        } catch (OperatorFileException | FleetException e) {
            Log.warn("fleet-off", ((CodedError) e).text());
            return FleetPart.OFF;
        }
    }

    private static OperatorFile again(Path path, Configuration configuration, SettingsHistory now) {
        try {
            return OperatorFileReader.read(path, configuration.name(), now.forDecisionModule(), List.of());
        } catch (OperatorFileException e) {
            Log.warn("fleet-reload-failed", e.text());
            return null;
        }
    }
}
