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

/** Passes estimates from the fleet's shared outcomes to the decision module. */
final class EstimatePublisher {
    private static final long ADVICE_INTERVAL_MICROS = 250_000;

    private final Bandit bandit;
    private final Consumer<Event> module;
    private Set<String> serversOnTrial = Set.of();
    private long advisedAtMicros;
    private long trialTurns;
    private long unhealthyServers;

    EstimatePublisher(String me, long seed, Consumer<Event> module) {
        bandit = new Bandit(BanditSettings.DEFAULT, me, seed);
        this.module = module;
    }

    /**
     * Sends estimates to the decision module when they are due. A turn to try a server is passed on once, when it
     * begins.
     */
    void tick(long nowMicros, Supplier<OutcomeSnapshot> snapshot, Set<String> live, Collection<Backend> servers) {
        if (nowMicros < advisedAtMicros + ADVICE_INTERVAL_MICROS) {
            return;
        }
        advisedAtMicros = nowMicros;
        List<ListedServer> listed = servers.stream()
                .map(b -> new ListedServer(
                        b.id(), b.startedAt(), b.kind(), b.zone(), b.weight(), b.state() == BackendState.READY))
                .toList();
        bandit.update(nowMicros, snapshot.get(), live, listed);
        FleetAdvice advice = bandit.advise(nowMicros);
        Set<String> mayTry = new HashSet<>();
        List<Balancer.FleetEstimate> estimates = new ArrayList<>();
        for (Advice ofServer : advice.servers()) {
            boolean newTurn = ofServer.mayTry() && !serversOnTrial.contains(ofServer.server());
            estimates.add(new Balancer.FleetEstimate(
                    ofServer.server(), ofServer.startedAt(), ofServer.speed(), ofServer.worthSamples(), newTurn));
            if (ofServer.mayTry()) {
                mayTry.add(ofServer.server());
            }
            trialTurns += newTurn ? 1 : 0;
        }
        serversOnTrial = mayTry;
        unhealthyServers = advice.servers().stream().filter(Advice::unhealthy).count();
        module.accept(new Balancer.FleetEstimates(estimates, advice.until()));
    }

    /** Number of servers that the last advice called unhealthy. */
    long unhealthyServers() {
        return unhealthyServers;
    }

    /** Number of turns to try a server that have been passed to the decision module. */
    long trialTurns() {
        return trialTurns;
    }
}
