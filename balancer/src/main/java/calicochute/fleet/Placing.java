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
 * The listed servers, and which of them is in which arm. Arms are numbered over all experiments: 1 and 2 are the first
 * one's control and treatment.
 */
final class Placing {
    private final List<Trial> trials;
    private final Supplier<List<RequestClass>> classes;
    private final Consumer<List<OutcomeKey>> known;
    private final Consumer<Event> module;
    private final Map<String, Backend> servers = new HashMap<>();
    private Map<String, Integer> arms = Map.of();

    /**
     * @param trials as they are now
     * @param known hears which subjects rows may name
     */
    Placing(
            List<Trial> trials,
            Supplier<List<RequestClass>> classes,
            Consumer<List<OutcomeKey>> known,
            Consumer<Event> module) {
        this.trials = trials;
        this.classes = classes;
        this.known = known;
        this.module = module;
    }

    void listed(ListKind kind, List<Backend> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            servers.clear();
        }
        for (Backend b : entries) {
            if (b.state() == BackendState.GONE) {
                servers.remove(b.id());
            } else {
                servers.put(b.id(), b);
            }
        }
        place();
    }

    /** Which subjects rows may name, and which server is in which arm. */
    void place() {
        Map<String, Integer> placing = new HashMap<>();
        List<OutcomeKey> subjects = new ArrayList<>();
        for (Backend b : servers.values()) {
            String arm = "";
            for (int i = 0; i < trials.size() && !placing.containsKey(b.id()); i++) {
                Arm in = trials.get(i).armOf(b);
                if (in != null) {
                    placing.put(b.id(), number(i, in));
                    arm = armName(trials.get(i), in);
                }
            }
            for (RequestClass c : classes.get()) {
                subjects.add(new OutcomeKey(b.id(), b.startedAt(), c.name(), ""));
                if (!arm.isEmpty()) {
                    subjects.add(new OutcomeKey(b.id(), b.startedAt(), c.name(), arm));
                }
            }
        }
        known.accept(subjects);
        if (!placing.equals(arms)) {
            arms = placing;
            module.accept(new Balancer.ExperimentArms(Map.copyOf(arms)));
        }
    }

    /** The listed server of this id, or null. */
    Backend server(String id) {
        return servers.get(id);
    }

    Collection<Backend> servers() {
        return servers.values();
    }

    static int number(int trial, Arm arm) {
        return 1 + 2 * trial + (arm == Arm.TREATMENT ? 1 : 0);
    }

    /** As subjects name it. */
    static String armName(Trial trial, Arm arm) {
        return trial.name() + (arm == Arm.TREATMENT ? "/t" : "/c");
    }
}
