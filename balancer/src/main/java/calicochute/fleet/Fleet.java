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
 * This balancer's participation in the fleet: counts the outcomes of sessions and dispatches, shares them with the
 * peers, and runs its part of the experiments. Everything runs on the decision thread, to which the socket's thread
 * posts the datagrams that it receives.
 */
public final class Fleet implements FleetParticipant {
    private static final long TICK_MICROS = 100_000;

    private static final long REPORT_INTERVAL_MICROS = 1_000_000;

    private final DecisionQueue queue;
    private final Supplier<OperatorFile> rereadFile;
    private final OperatorFile file;
    /** The running experiments in the file's order; {@link Experiments} changes the list, other classes read it. */
    private final List<ExperimentRunner> running = new ArrayList<>();

    private final List<String> peers;
    private final PeerMessaging messaging;
    private final Experiments experiments;
    private final ArmAssignment arms;
    private final SessionTracker sessions;
    private final EstimatePublisher estimates;
    private boolean stopped;
    private volatile String experimentsReport = "";
    private volatile String fleetReport = "";

    /**
     * @param rereadFile reads the operator's file again; its result is null if the file is invalid, which it has logged
     * @param classes the classes in force
     * @param tenants the tenants in force
     * @param module receives events for the decision module
     */
    public Fleet(
            OperatorFile file,
            DecisionQueue queue,
            long seed,
            Supplier<OperatorFile> rereadFile,
            Supplier<List<RequestClass>> classes,
            Supplier<List<Balancer.Tenant>> tenants,
            Consumer<Event> module)
            throws FleetException {
        this.file = file;
        this.queue = queue;
        this.rereadFile = rereadFile;
        long startMicros = queue.now();
        LongSupplier longestDeadline = () ->
                classes.get().stream().mapToLong(RequestClass::deadline).max().orElse(1_000_000);
        peers = file.peerIds();
        messaging = new PeerMessaging(file, queue, startMicros, seed, running);
        experiments = new Experiments(file, queue, startMicros, longestDeadline, messaging, running);
        OutcomeSharing sharing = messaging.sharing();
        arms = new ArmAssignment(running, classes, sharing == null ? keys -> {} : sharing::setKnownKeys, module);
        sessions = new SessionTracker(queue, running, arms, classes, tenants, longestDeadline.getAsLong());
        estimates = file.bandit() ? new EstimatePublisher(file.me(), seed, module) : null;
    }

    @Override
    public void start() {
        queue.post(() -> {
            file.experiments().forEach(experiments::start);
            arms.update();
            tick();
        });
    }

    @Override
    public void stop() {
        queue.post(() -> {
            stopped = true;
            messaging.close();
        });
    }

    @Override
    public void reload() {
        OperatorFile changed = rereadFile.get();
        if (changed == null) {
            return;
        }
        queue.post(() -> {
            if (!changed.peers().equals(file.peers())
                    || !changed.listen().equals(file.listen())
                    || !changed.cluster().equals(file.cluster())) {
                Log.warn("fleet-not-moved", "changes of cluster, listen and peers need a restart and were ignored");
            }
            experiments.update(changed.experiments());
            arms.update();
        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long nowMicros = queue.now();
        messaging.tick(nowMicros);
        OutcomeSharing sharing = messaging.sharing();
        if (sharing != null) {
            sessions.close(nowMicros).forEach(closed -> sharing.onWindowClosed(nowMicros, closed));
            sharing.tick(nowMicros);
        }
        Set<String> live = messaging.live();
        running.forEach(experiment -> experiment.tick(nowMicros, live));
        if (estimates != null) {
            estimates.tick(nowMicros, sharing::snapshot, live, arms.servers());
        }
        if (nowMicros % REPORT_INTERVAL_MICROS < TICK_MICROS) {
            experimentsReport = experiments.report();
            fleetReport = report(live);
        }
        queue.schedule(TICK_MICROS, this::tick);
    }

    private String report(Set<String> live) {
        OutcomeSharing sharing = messaging.sharing();
        String shared = sharing == null
                ? ""
                : "rows " + sharing.snapshot().rows(queue.now()).size() + "\nsick "
                        + (estimates == null ? 0 : estimates.unhealthyServers())
                        + "\ntries " + (estimates == null ? 0 : estimates.trialTurns()) + "\noutcomes_dropped "
                        + sharing.counts().all()
                        + "\nclock_off " + sharing.counts().clockOff() + "\n";
        return "me " + file.me() + "\ncluster " + file.cluster() + "\nlive " + live.size() + "\npeers " + peers.size()
                + "\nmissing " + peers.stream().filter(p -> !live.contains(p)).toList() + "\n" + messaging.report()
                + shared;
    }

    @Override
    public void listed(ListKind kind, List<Backend> entries) {
        arms.listed(kind, entries);
    }

    @Override
    public int sessionStarted(Exchange exchange) {
        return sessions.sessionStarted(exchange);
    }

    @Override
    public void dispatchEnded(Dispatch dispatch, Outcome outcome, long elapsedMicros) {
        sessions.dispatchEnded(dispatch, outcome, elapsedMicros);
    }

    @Override
    public void sessionAnswered(Exchange exchange, boolean served, boolean failed) {
        sessions.sessionAnswered(exchange, served, failed);
    }

    @Override
    public void sessionRetired(Exchange exchange) {
        sessions.sessionRetired(exchange);
    }

    @Override
    public String experimentsReport() {
        return experimentsReport;
    }

    @Override
    public String fleetReport() {
        return fleetReport;
    }
}
