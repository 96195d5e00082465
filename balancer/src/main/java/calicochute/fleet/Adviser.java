package calicochute.fleet;

import calicochute.bandit.Advice;
import calicochute.bandit.Bandit;
import calicochute.bandit.BanditSettings;
import calicochute.bandit.FleetAdvice;
import calicochute.bandit.ListedServer;
import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Event;
import calicochute.outcomes.OutcomeSnapshot;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Tells the decision module what the fleet knows of the servers. */
final class Adviser {
    /** Microseconds from one advice to the next. */
    private static final long ADVISE = 250_000;

    private final Bandit bandit;
    private final Consumer<Event> module;
    private Set<String> trying = Set.of();
    private long advisedAt;
    private long tries;
    private long sick;

    Adviser(String me, long seed, Consumer<Event> module) {
        bandit = new Bandit(BanditSettings.DEFAULT, me, seed);
        this.module = module;
    }

    /** What the fleet knows goes to the module; a turn to try a server is told once, when it comes. */
    void tick(long now, Supplier<OutcomeSnapshot> picture, Set<String> live, Collection<Backend> servers) {
        if (now < advisedAt + ADVISE) {
            return;
        }
        advisedAt = now;
        List<ListedServer> listed = servers.stream()
                .map(b -> new ListedServer(
                        b.id(), b.startedAt(), b.kind(), b.zone(), b.weight(), b.state() == BackendState.READY))
                .toList();
        bandit.update(now, picture.get(), live, listed);
        FleetAdvice advices = bandit.advise(now);
        Set<String> turns = new HashSet<>();
        List<Balancer.FleetEstimate> told = new ArrayList<>();
        for (Advice a : advices.servers()) {
            boolean turn = a.mayTry() && !trying.contains(a.server());
            told.add(new Balancer.FleetEstimate(a.server(), a.startedAt(), a.speed(), a.worthSamples(), turn));
            if (a.mayTry()) {
                turns.add(a.server());
            }
            tries += turn ? 1 : 0;
        }
        trying = turns;
        sick = advices.servers().stream().filter(Advice::unhealthy).count();
        module.accept(new Balancer.FleetEstimates(told, advices.until()));
    }

    /** Servers said to be sick in the last advice. */
    long sick() {
        return sick;
    }

    /** Turns to try a server that the module was told of, so far. */
    long tries() {
        return tries;
    }
}
