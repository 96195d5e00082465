package calicochute.fleet;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.RequestClass;
import calicochute.experiment.Arm;
import calicochute.outcomes.OutcomeKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The listed servers and the experiment arms that they belong to. Arms are numbered over all experiments: 1 and 2 are
 * the control and the treatment of the first experiment.
 */
final class ArmAssignment {
    private final List<ExperimentRunner> experiments;
    private final Supplier<List<RequestClass>> classes;
    private final Consumer<List<OutcomeKey>> knownKeys;
    private final Consumer<Event> module;
    private final Map<String, Backend> servers = new HashMap<>();
    private Map<String, Integer> arms = Map.of();

    /**
     * @param experiments the running experiments; the caller changes the list
     * @param knownKeys receives the keys that rows of outcomes may have
     */
    ArmAssignment(
            List<ExperimentRunner> experiments,
            Supplier<List<RequestClass>> classes,
            Consumer<List<OutcomeKey>> knownKeys,
            Consumer<Event> module) {
        this.experiments = experiments;
        this.classes = classes;
        this.knownKeys = knownKeys;
        this.module = module;
    }

    void listed(ListKind kind, List<Backend> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            servers.clear();
        }
        for (Backend server : entries) {
            if (server.state() == BackendState.GONE) {
                servers.remove(server.id());
            } else {
                servers.put(server.id(), server);
            }
        }
        update();
    }

    /** Passes on the keys that rows of outcomes may have, and the servers' arms if they have changed. */
    void update() {
        Map<String, Integer> armNumbers = new HashMap<>();
        List<OutcomeKey> keys = new ArrayList<>();
        for (Backend server : servers.values()) {
            String arm = "";
            for (int i = 0; i < experiments.size() && !armNumbers.containsKey(server.id()); i++) {
                Arm assigned = experiments.get(i).armOf(server);
                if (assigned != null) {
                    armNumbers.put(server.id(), number(i, assigned));
                    arm = armName(experiments.get(i), assigned);
                }
            }
            for (RequestClass requestClass : classes.get()) {
                keys.add(new OutcomeKey(server.id(), server.startedAt(), requestClass.name(), ""));
                if (!arm.isEmpty()) {
                    keys.add(new OutcomeKey(server.id(), server.startedAt(), requestClass.name(), arm));
                }
            }
        }
        knownKeys.accept(keys);
        if (!armNumbers.equals(arms)) {
            arms = armNumbers;
            module.accept(new Balancer.ExperimentArms(Map.copyOf(arms)));
        }
    }

    /** The listed server with this id, or null. */
    Backend server(String id) {
        return servers.get(id);
    }

    Collection<Backend> servers() {
        return servers.values();
    }

    /** The number of an arm of the experiment with this index. */
    static int number(int experiment, Arm arm) {
        return 1 + 2 * experiment + (arm == Arm.TREATMENT ? 1 : 0);
    }

    /** The arm's name in keys of outcomes. */
    static String armName(ExperimentRunner experiment, Arm arm) {
        return experiment.name() + (arm == Arm.TREATMENT ? "/t" : "/c");
    }
}
