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
import calicochute.fleet.FleetPart;
import calicochute.metrics.Log;
import calicochute.metrics.OperatorStats;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;

/**
 * What the module is told of backend servers: discovery's word with the operators' on top. The file that holds the
 * latter is read and written on a thread of its own; all else happens on the decision thread.
 */
final class Membership implements ServerListListener {
    /** How often the file is looked at: another process of this balancer may have changed it. */
    private static final long LOOK_MS = 100;

    private final BackendServers backend;
    private final OperatorStats stats;
    private final DecisionQueue queue;
    private final Consumer<BackendList> module;
    private final CordonFile file;
    private final CordonOverlay overlay = new CordonOverlay();
    private final ScheduledExecutorService files =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("outage-file", true));
    private FleetPart fleet = FleetPart.OFF;
    private Cordons seen = Cordons.NONE;
    /**
     * The module takes itself to be subscribed: it may be told of changes. Otherwise changes would make it think so.
     */
    private boolean subscribed;

    private volatile boolean any;

    Membership(
            BackendServers backend,
            OperatorStats stats,
            DecisionQueue queue,
            CordonFile file,
            Consumer<BackendList> module) {
        this.backend = backend;
        this.stats = stats;
        this.queue = queue;
        this.file = file;
        this.module = module;
    }

    /** Who else hears of the list; before the start. */
    void also(FleetPart part) {
        fleet = part;
    }

    /** True once a list with a server on it has been held. */
    boolean any() {
        return any;
    }

    // ---- Discovery's word

    void restored(ServerList known) {
        list(ListKind.RESTORED, known);
    }

    @Override
    public void serverListReceived(ServerList list) {
        Log.info(
                "list",
                "generation=" + list.generation() + " whole=" + list.full() + " entries="
                        + list.entries().size());
        list(list.full() ? ListKind.FULL : ListKind.CHANGES, list);
    }

    @Override
    public void discoveryUnavailable() {
        subscribed = false;
        module.accept(new BackendList(ListKind.UNAVAILABLE, List.of()));
    }

    private void list(ListKind kind, ServerList list) {
        list.addresses().forEach(backend::setAddress);
        List<Backend> entries = overlay.applyDiscovery(kind != ListKind.CHANGES, list.entries());
        tell(kind, entries);
        if (kind != ListKind.CHANGES) {
            backend.retainOnly(list.addresses().keySet());
        }
        list.entries().stream().filter(e -> e.state() == BackendState.GONE).forEach(e -> backend.remove(e.id()));
        any |= !list.addresses().isEmpty();
    }

    private void tell(ListKind kind, List<Backend> entries) {
        subscribed = kind != ListKind.RESTORED;
        // Before the module acts on it: what waits for a connection is looked at once more before its first byte.
        entries.forEach(e -> {
            backend.setEligible(e.id(), e.state() == BackendState.READY);
            backend.recordStart(e.id(), e.startedAt());
        });
        fleet.listed(kind, entries);
        module.accept(new BackendList(kind, entries));
        stats.setMembers(overlay.listedCount(), overlay.unavailableCount());
    }

    // ---- The operators' word

    /** Reads what the processes before this one left, and goes on looking. Before the start. */
    void readOutages() {
        look();
        files.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        try {
            Cordons now = file.read();
            if (!now.equals(seen)) {
                seen = now;
                queue.post(() -> take(now));
            }
        } catch (IOException e) {
            Log.warn("outages-not-read", String.valueOf(e.getMessage()));
        }
    }

    /** Work on files, in turn with the operators' word. */
    void files(Runnable work) {
        files.execute(work);
    }

    /** {@code done} hears of it once the file says so and the module has been told. */
    void change(String server, UnaryOperator<Cordons> how, Consumer<Result> done) {
        queue.post(() -> {
            if (overlay.everListed(server)) {
                files.execute(() -> write(how, done));
            } else {
                done.accept(Result.NO_SUCH_SERVER);
            }
        });
    }

    private void write(UnaryOperator<Cordons> how, Consumer<Result> done) {
        try {
            Cordons now = file.update(how);
            seen = now;
            queue.post(() -> {
                take(now);
                done.accept(Result.DONE);
            });
        } catch (IOException e) {
            Log.warn("outages-not-written", String.valueOf(e.getMessage()));
            done.accept(Result.FAILED);
        }
    }

    private void take(Cordons now) {
        List<Backend> changed = overlay.applyCordons(now);
        if (!changed.isEmpty()) {
            Log.info("outages", "out=" + now.sinceMs().keySet());
            tell(subscribed ? ListKind.CHANGES : ListKind.RESTORED, subscribed ? changed : overlay.effectiveBackends());
        }
    }
}
