package calicochute.fleet;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFile;
import calicochute.outcomes.OutcomeSharing;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * This balancer's part in the fleet: counts what becomes of sessions and dispatches, shares it by datagrams, and runs
 * its part of the experiments. All on the decision thread; the socket's thread only posts what came.
 */
public final class Fleet implements FleetPart {
    /** Microseconds. */
    private static final long TICK = 100_000;

    private static final long TEXTS = 1_000_000;

    private final DecisionQueue queue;
    private final Supplier<OperatorFile> next;
    private final OperatorFile file;
    /** Those under way, in the file's order: one list, which {@link Experiments} changes and the others look into. */
    private final List<Trial> trials = new ArrayList<>();

    private final List<String> peers;
    private final Channels channels;
    private final Experiments experiments;
    private final Placing placing;
    private final Sessions sessions;
    private final Adviser adviser;
    private boolean stopped;
    private volatile String experimentsText = "";
    private volatile String fleetText = "";

    /**
     * @param next reads the operator's file anew; null where it can't be used (and has been said)
     * @param classes of the settings as they are now
     */
    public Fleet(
            OperatorFile file,
            DecisionQueue queue,
            long seed,
            Supplier<OperatorFile> next,
            Supplier<List<RequestClass>> classes,
            Supplier<List<Balancer.Tenant>> tenants,
            Consumer<Event> module)
            throws FleetException {
        this.file = file;
        this.queue = queue;
        this.next = next;
        long start = queue.now();
        LongSupplier longest = () ->
                classes.get().stream().mapToLong(RequestClass::deadline).max().orElse(1_000_000);
        peers = file.peerIds();
        channels = new Channels(file, queue, start, seed, trials);
        experiments = new Experiments(file, queue, start, longest, channels, trials);
        OutcomeSharing sharing = channels.sharing();
        placing = new Placing(trials, classes, sharing == null ? subjects -> {} : sharing::setKnownKeys, module);
        sessions = new Sessions(queue, trials, placing, classes, tenants, longest.getAsLong());
        adviser = file.bandit() ? new Adviser(file.me(), seed, module) : null;
    }

    @Override
    public void start() {
        queue.post(() -> {
            file.experiments().forEach(experiments::begin);
            placing.place();
            tick();
        });
    }

    @Override
    public void stop() {
        queue.post(() -> {
            stopped = true;
            channels.close();
        });
    }

    @Override
    public void reload() {
        OperatorFile changed = next.get();
        if (changed == null) {
            return;
        }
        queue.post(() -> {
            if (!changed.peers().equals(file.peers())
                    || !changed.listen().equals(file.listen())
                    || !changed.cluster().equals(file.cluster())) {
                Log.warn(
                        "fleet-not-moved",
                        "cluster, listen and peers stay as they were at the start; restart to change them");
            }
            experiments.change(changed.experiments());
            placing.place();
        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long now = queue.now();
        channels.tick(now);
        OutcomeSharing sharing = channels.sharing();
        if (sharing != null) {
            sessions.close(now).forEach(closed -> sharing.onWindowClosed(now, closed));
            sharing.tick(now);
        }
        Set<String> live = channels.live();
        trials.forEach(t -> t.tick(now, live));
        if (adviser != null) {
            adviser.tick(now, sharing::snapshot, live, placing.servers());
        }
        if (now % TEXTS < TICK) {
            experimentsText = experiments.text();
            fleetText = text(live);
        }
        queue.schedule(TICK, this::tick);
    }

    private String text(Set<String> live) {
        OutcomeSharing sharing = channels.sharing();
        String shared = sharing == null
                ? ""
                : "rows " + sharing.snapshot().rows(queue.now()).size() + "\nsick "
                        + (adviser == null ? 0 : adviser.sick())
                        + "\ntries " + (adviser == null ? 0 : adviser.tries()) + "\noutcomes_dropped "
                        + sharing.counts().all()
                        + "\nclock_off " + sharing.counts().clockOff() + "\n";
        return "me " + file.me() + "\ncluster " + file.cluster() + "\nlive " + live.size() + "\npeers " + peers.size()
                + "\nmissing " + peers.stream().filter(p -> !live.contains(p)).toList() + "\n" + channels.text()
                + shared;
    }

    @Override
    public void listed(ListKind kind, List<Backend> entries) {
        placing.listed(kind, entries);
    }

    @Override
    public int begun(Exchange exchange) {
        return sessions.begun(exchange);
    }

    @Override
    public void dispatched(Dispatch dispatch, Outcome outcome, long elapsed) {
        sessions.dispatched(dispatch, outcome, elapsed);
    }

    @Override
    public void answered(Exchange exchange, boolean served, boolean failed) {
        sessions.answered(exchange, served, failed);
    }

    @Override
    public void retired(Exchange exchange) {
        sessions.retired(exchange);
    }

    @Override
    public String experiments() {
        return experimentsText;
    }

    @Override
    public String fleet() {
        return fleetText;
    }
}
