package calicochute.node;

import calicochute.admin.Operations.Result;
import calicochute.backend.BackendServers;
import calicochute.cordon.CordonFile;
import calicochute.cordon.CordonOverlay;
import calicochute.cordon.Cordons;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ListKind;
import calicochute.discovery.ServerList;
import calicochute.discovery.ServerListListener;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.FleetParticipant;
import calicochute.metrics.Log;
import calicochute.metrics.OperatorStats;
import calicochute.takeover.WallClockOffset;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The backend servers as the decision module knows them: discovery's list with the operators' cordons applied. The
 * cordon file is read and written on a separate thread; everything else runs on the decision thread.
 */
final class Membership implements ServerListListener {
    /** Interval of reading the cordon file, which another process of this balancer may have changed. */
    private static final long POLL_INTERVAL_MS = 100;

    private final BackendServers backendServers;
    private final OperatorStats stats;
    private final DecisionQueue queue;
    private final Consumer<BackendList> module;
    private final CordonFile file;
    private final CordonOverlay overlay = new CordonOverlay();
    private final FileThread fileThread;
    private FleetParticipant fleet = FleetParticipant.OFF;
    /** As last read from the file or written to it. */
    private Cordons lastCordons = Cordons.NONE;
    /**
     * Whether the decision module regards itself as subscribed. Only then may it get changes, since it would take them
     * as a sign that it is subscribed.
     */
    private boolean subscribed;

    private volatile boolean everListed;

    Membership(
            BackendServers backendServers,
            OperatorStats stats,
            DecisionQueue queue,
            CordonFile file,
            FileThread fileThread,
            Consumer<BackendList> module) {
        this.backendServers = backendServers;
        this.stats = stats;
        this.queue = queue;
        this.file = file;
        this.fileThread = fileThread;
        this.module = module;
    }

    /** Sets the fleet's hooks, which get the list too; called before the start. */
    void setFleet(FleetParticipant participant) {
        fleet = participant;
    }

    /** True once there has been a list with at least one server. */
    boolean everListed() {
        return everListed;
    }

    // ---- Discovery

    /** Takes the list that the process begins with, and the {@link WallClockOffset} of its starts. */
    void restored(ServerList list, long wallClockOffsetMicros) {
        apply(ListKind.RESTORED, list, wallClockOffsetMicros);
    }

    /** Takes a whole list that another process of this balancer was told. */
    void adopted(ServerList list) {
        apply(subscribed ? ListKind.FULL : ListKind.RESTORED, list);
    }

    @Override
    public void serverListReceived(ServerList list) {
        Log.info(
                "list",
                "generation=" + list.generation() + " whole=" + list.full() + " entries="
                        + list.entries().size());
        apply(list.full() ? ListKind.FULL : ListKind.CHANGES, list);
    }

    @Override
    public void discoveryUnavailable() {
        subscribed = false;
        module.accept(new BackendList(ListKind.UNAVAILABLE, List.of()));
    }

    private void apply(ListKind kind, ServerList list) {
        apply(kind, list, WallClockOffset.now());
    }

    private void apply(ListKind kind, ServerList list, long wallClockOffsetMicros) {
        list.addresses().forEach(backendServers::setAddress);
        List<Backend> entries = overlay.applyDiscovery(kind != ListKind.CHANGES, list.entries());
        publish(kind, entries, wallClockOffsetMicros);
        if (kind != ListKind.CHANGES) {
            backendServers.retainOnly(list.addresses().keySet());
        }
        list.entries().stream().filter(e -> e.state() == BackendState.GONE).forEach(e -> backendServers.remove(e.id()));
        everListed |= !list.addresses().isEmpty();
    }

    private void publish(ListKind kind, List<Backend> entries, long wallClockOffsetMicros) {
        subscribed = kind != ListKind.RESTORED;
        // Before the decision module acts on it: a dispatch that waits for a connection is checked against this again
        // before its first byte is written.
        entries.forEach(e -> {
            backendServers.setEligible(e.id(), e.state() == BackendState.READY);
            backendServers.recordStart(e.id(), e.startedAt());
        });
        fleet.listed(kind, entries);
        long monotonicLead = TimeUnit.NANOSECONDS.toMicros(System.nanoTime()) - queue.now();
        long wallClockLead = wallClockOffsetMicros + monotonicLead;
        module.accept(new BackendList(kind, entries, wallClockLead));
        stats.setMembers(overlay.listedCount(), overlay.unavailableCount());
    }

    // ---- Cordons

    /** Reads the file that earlier processes have left, and then polls it. Called before the start. */
    void readCordons() {
        pollFile();
        fileThread.repeat(POLL_INTERVAL_MS, this::pollFile);
    }

    private void pollFile() {
        try {
            Cordons cordons = file.read();
            if (!cordons.equals(lastCordons)) {
                lastCordons = cordons;
                queue.post(() -> applyCordons(cordons));
            }
        } catch (IOException e) {
            Log.warn("outages-not-read", String.valueOf(e.getMessage()));
        }
    }

    /** Changes the cordons; {@code done} gets the result after the file is written and the module has been informed. */
    void changeCordons(String server, UnaryOperator<Cordons> change, Consumer<Result> done) {
        queue.post(() -> {
            if (overlay.everListed(server)) {
                fileThread.execute(() -> writeCordons(change, done));
            } else {
                done.accept(Result.NO_SUCH_SERVER);
            }
        });
    }

    private void writeCordons(UnaryOperator<Cordons> change, Consumer<Result> done) {
        try {
            Cordons cordons = file.update(change);
            lastCordons = cordons;
            queue.post(() -> {
                applyCordons(cordons);
                done.accept(Result.DONE);
            });
        } catch (IOException e) {
            Log.warn("outages-not-written", String.valueOf(e.getMessage()));
            done.accept(Result.FAILED);
        }
    }

    private void applyCordons(Cordons cordons) {
        List<Backend> changed = overlay.applyCordons(cordons);
        if (!changed.isEmpty()) {
            Log.info("outages", "out=" + cordons.sinceMs().keySet());
            publish(
                    subscribed ? ListKind.CHANGES : ListKind.RESTORED,
                    subscribed ? changed : overlay.effectiveBackends(),
                    WallClockOffset.now());
        }
    }
}
