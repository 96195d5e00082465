package calicochute.node;

import calicochute.admin.AdminServer;
import calicochute.backend.BackendServers;
import calicochute.backend.DispatchListener;
import calicochute.connection.Connector;
import calicochute.cordon.CordonFile;
import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.Settings;
import calicochute.discovery.DiscoveryClient;
import calicochute.discovery.ServerList;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.exchange.Response;
import calicochute.exchange.SessionListener;
import calicochute.fleet.FleetPart;
import calicochute.frontend.Frontend;
import calicochute.lifecycle.Lifecycle;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.metrics.OperatorStats;
import calicochute.metrics.OperatorStats.SessionEnd;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import calicochute.settings.Succession;
import calicochute.takeover.LearntFile;
import calicochute.takeover.Origin;
import calicochute.takeover.ProcessLock;
import calicochute.takeover.SharedFolder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/**
 * One real balancer: turns what the sockets bring into the module's events, and the module's actions into work for the
 * sockets. All but the start and the end happens on the decision thread.
 */
public final class Node implements SessionListener, DispatchListener {
    /** A dispatch is written within this time. */
    private static final long WRITE_MARGIN = 10_000;
    /** At a stop a client that reads takes the rest of an answer within this time; a slow one would meet the kill. */
    private static final long TAKE_REST = 100_000;

    private static final long TAKEN_OVER_NANOS = 100_000_000L;
    private static final long LONGEST_END_NANOS = 10_000_000_000L;
    private final Configuration configuration;
    private volatile Succession succession;
    private final Counters counters;
    private final DecisionQueue queue;
    private final Connector connector = new Connector();
    private final BackendServers backend;
    private final DiscoveryClient discovery;
    private final Membership membership;
    private final Frontend frontend;
    private final AdminServer admin;
    private final ProcessLock processLock;
    private final Heritage heritage;
    private final Staff staff;
    private final FleetPart fleet;
    private final OperatorStats stats = new OperatorStats();
    private final Balancer balancer;
    private final Balancer.Actions actions;
    private final Map<Long, Exchange> open = new HashMap<>();
    private final DeadlineGuards deadlines;
    private final Set<String> clientIds = new HashSet<>();
    /** After SIGTERM: when answers in pieces are cut. */
    private DecisionQueue.Timer cut;

    private volatile int unanswered;

    public Node(Configuration configuration, Counters counters) throws IOException {
        this(configuration, counters, null, null);
    }

    /**
     * @param inherited the socket that listens for clients already, or null
     * @param shared the folder that all processes of this balancer share, or null
     */
    public Node(Configuration configuration, Counters counters, ServerSocketChannel inherited, SharedFolder shared)
            throws IOException {
        this.configuration = configuration;
        this.counters = counters;
        Settings settings = configuration.settings();
        succession = Succession.of(settings);
        queue = new DecisionThread(counters);
        balancer = Balancer.create(settings);
        backend = new BackendServers(
                connector,
                queue,
                counters,
                settings.limits().connectTimeout(),
                configuration.connectionIdle(),
                configuration.bounds(),
                this);
        membership = new Membership(backend, stats, queue, new CordonFile(shared, settings.tier()), this::tell);
        discovery = new DiscoveryClient(connector, queue, counters, configuration.discovery(), membership, settings);
        fleet = FleetStart.of(configuration, queue, () -> succession, this::tell);
        actions = new ModuleActions(this, open, backend, discovery, queue, counters);
        membership.also(fleet);
        staff = new Staff(queue, membership, stats, fleet);
        frontend = new Frontend(
                configuration, inherited, queue, this, counters, membership::any, staff::lifecycle, () -> succession);
        staff.endsIdle(frontend::closeIdle);
        deadlines = new DeadlineGuards(
                queue, () -> staff.lifecycle().responseDeadline(succession::longestDeadline), this::overdue);
        connector.onDescriptorShortage(frontend::handleDescriptorShortage);
        admin = configuration.admin() == null
                ? null
                : new AdminServer(staff, counters, frontend::handleDescriptorShortage);
        processLock = new ProcessLock(shared);
        // Where processes follow each other on one socket.
        heritage = inherited == null || shared == null
                ? null
                : new Heritage(
                        new LearntFile(shared),
                        () -> Origin.of(configuration.name(), succession.current()),
                        balancer,
                        queue,
                        counters,
                        membership::files,
                        () -> staff.lifecycle().state() != Lifecycle.State.STOPPING);
        settings.classes().forEach(c -> stats.addClass(c.name()));
    }

    /** Serves from now on; returns the address it listens at. */
    public InetSocketAddress start() throws IOException, InterruptedException, SettingsException {
        ServerList known = configuration.known().isEmpty() ? null : ServerList.parse(configuration.known());
        connector.start();
        // Before the module hears of a server: one that is out by hand must not be sent to, not even at first.
        membership.readOutages();
        queue.post(() -> restore(known));
        if (heritage != null) {
            heritage.start();
        }
        fleet.start();
        if (admin != null) {
            Log.info("admin", "address=" + admin.start(configuration.admin()));
        }
        InetSocketAddress address = frontend.start();
        staff.listening();
        return address;
    }

    /**
     * Takes over what may change under load: the settings and discovery's address. Its own addresses, its name and its
     * limits stay as they were at the start.
     */
    public void reload(Configuration changed) throws SettingsException {
        // Only here does it change, one reload at a time: a file that can't follow the running one changes nothing.
        Succession next = succession.next(changed.settings(), queue.now());
        queue.post(() -> {
            succession = next;
            next.classes().forEach(c -> stats.addClass(c.name()));
            backend.updateTimeouts(changed.settings().limits().connectTimeout(), changed.connectionIdle());
            tell(new Balancer.SettingsChanged(next.forModule()));
            counters.count(Counter.RELOADS);
            stats.reloadEnded(true);
            Log.info(
                    "reloaded",
                    "discovery=" + changed.discovery() + " classes="
                            + changed.settings().classes().stream()
                                    .map(Balancer.RequestClass::name)
                                    .toList());
            discovery.moveTo(changed.discovery());
            discovery.updateSettings(changed.settings());
            if (staff.lifecycle().state() == Lifecycle.State.STOPPING) {
                // The platform ends this process by the deadlines it has just told.
                endBy();
            }
            // Only now: the operator's file is held against the settings in force, and may name a class that came with
            // them. Off this thread: it reads.
            membership.files(fleet::reload);
        });
    }

    /** A file was turned down; nothing changed. */
    public void reloadFailed(String why) {
        counters.count(Counter.RELOADS_FAILED);
        stats.reloadEnded(false);
        Log.warn("reload-failed", why);
    }

    private void restore(ServerList known) {
        if (known != null) {
            discovery.resumeFrom(known.generation());
        }
        membership.restored(known == null ? new ServerList(0, true, List.of(), Map.of()) : known);
        if (!configuration.settings().subscribes()) {
            discovery.start();
        }
    }

    // ---- Sessions

    @Override
    public void sessionStarted(Exchange exchange) {
        queue.post(() -> take(exchange));
    }

    @Override
    public void clientGone(Exchange exchange) {
        exchange.markClientGone();
        queue.post(() -> gone(exchange));
    }

    private void take(Exchange exchange) {
        counters.count(Counter.SESSIONS_TAKEN);
        stats.sessionStarted();
        if (!exchange.awaitsResponse()) {
            // Gone before this thread came to it: nothing is begun for it.
            counters.count(Counter.SESSIONS_CLIENT_GONE);
            ended(exchange, SessionEnd.GONE);
            exchange.abandon();
            return;
        }
        if (unanswered >= exchange.limits.maxOpen()) {
            counters.count(Counter.SESSIONS_OVER_LIMIT);
            answer(exchange, new Response.Denied(exchange.limits.advisedRetryAfter()));
            return;
        }
        if (!clientIds.add(exchange.clientId)) {
            // Guards against a second copy: the first session of this name is still being worked on.
            counters.count(Counter.SESSIONS_BAD_INPUT);
            exchange.respond(new Response.Duplicate());
            ended(exchange, SessionEnd.FAILED);
            return;
        }
        open.put(exchange.id, exchange);
        unanswered = open.size();
        long left = (exchange.requestComplete() ? exchange.deadline() - queue.now() : exchange.clientTimeoutMicros)
                - Margins.answer(exchange.clientTimeoutMicros);
        if (exchange.requestComplete()) {
            deadlines.guard(exchange);
        } else {
            counters.count(Counter.SESSIONS_IN_PIECES);
        }
        tell(new Balancer.Arrival(
                exchange.id,
                exchange.classIndex,
                exchange.tenantIndex,
                null,
                Math.max(0, left),
                exchange.clientRetry,
                fleet.begun(exchange)));
    }

    /**
     * Until when a further dispatch of the session may leave: servers drop a repeat only for a while from the first
     * dispatch that may have run, and it takes a moment to be written.
     */
    long repeatableUntil(Exchange exchange) {
        Dispatch first = exchange.firstPossiblyExecuted();
        Balancer.RequestClass kind = succession.classes().get(exchange.classIndex);
        return first == null || kind.effect() != Balancer.Effect.KEYED
                ? Long.MAX_VALUE
                : first.sentAt + kind.window() - WRITE_MARGIN;
    }

    @Override
    public void requestCompleted(Exchange exchange) {
        queue.post(() -> {
            exchange.completeRequest(queue.now());
            if (!exchange.closed() && open.containsKey(exchange.id)) {
                deadlines.guard(exchange);
                tell(new Balancer.BodyState(exchange.id, false, true));
            }
        });
    }

    @Override
    public void responseEnded(Exchange exchange, boolean whole) {
        queue.post(() -> over(exchange, whole));
    }

    /** An answer in pieces is over: its session ends only here. */
    private void over(Exchange exchange, boolean whole) {
        if (!exchange.streamingResponse()) {
            return;
        }
        exchange.setStreamingResponse(false);
        // Where the server broke off the session has failed; where the client went away nothing is counted against it.
        boolean cut = !whole
                && (exchange.responseAborted()
                        || exchange.latestDispatch() != null
                                && !exchange.latestDispatch().pending()
                                && !exchange.latestDispatch().succeeded());
        counters.count(whole ? Counter.SESSIONS_SERVED : cut ? Counter.SESSIONS_FAILED : Counter.SESSIONS_CLIENT_GONE);
        ended(exchange, whole ? SessionEnd.COMPLETED : cut ? SessionEnd.FAILED : SessionEnd.GONE);
        fleet.answered(exchange, whole, cut);
        if (!whole && exchange.limits.cancel()) {
            exchange.pendingDispatches().forEach(backend::cancel);
        }
        retire(exchange);
    }

    private void gone(Exchange exchange) {
        over(exchange, false);
        if (!exchange.closed()) {
            counters.count(Counter.SESSIONS_CLIENT_GONE);
            ended(exchange, SessionEnd.GONE);
            fleet.answered(exchange, false, false);
            exchange.abandon();
            sessionOver(exchange);
            retire(exchange);
        }
    }

    /**
     * Guards the rule that no session is lost: whatever the module does, an answer leaves in time; before the platform
     * ends the process, if that comes first.
     */
    private void overdue(Exchange exchange) {
        if (exchange.closed()) {
            return;
        }
        boolean stop = queue.now() < exchange.deadline() - Margins.answer(exchange.clientTimeoutMicros);
        counters.count(stop ? Counter.SESSIONS_ENDED_BY_STOP : Counter.SESSIONS_ENDED_BY_DEADLINE);
        answer(
                exchange,
                exchange.mayHaveExecuted()
                        ? new Response.Failed(!stop)
                        : new Response.Denied(exchange.limits.advisedRetryAfter()));
        sessionOver(exchange);
        retire(exchange);
    }

    /**
     * What has begun the module withdraws, where the settings let it; what has not must not begin any more in any case.
     */
    private void sessionOver(Exchange exchange) {
        tell(new Balancer.ClientGone(exchange.id));
        exchange.pendingDispatches().forEach(backend::sessionEnded);
    }

    void answer(Exchange exchange, Response answer) {
        if (exchange.respond(answer)) {
            counters.count(
                    answer instanceof Response.Served
                            ? Counter.SESSIONS_SERVED
                            : answer instanceof Response.Denied ? Counter.SESSIONS_DENIED : Counter.SESSIONS_FAILED);
            ended(
                    exchange,
                    answer instanceof Response.Served
                            ? SessionEnd.COMPLETED
                            : answer instanceof Response.Denied ? SessionEnd.REJECTED : SessionEnd.FAILED);
            fleet.answered(exchange, answer instanceof Response.Served, !(answer instanceof Response.Served));
            deadlines.drop(exchange);
            retire(exchange);
        }
    }

    private void ended(Exchange exchange, SessionEnd how) {
        stats.sessionEnded(succession.classes().get(exchange.classIndex).name(), how);
    }

    /** Forgets a session that is closed and has no dispatch out. */
    private void retire(Exchange exchange) {
        if (exchange.closed()
                && !exchange.anyPending()
                && !exchange.streamingResponse()
                && open.remove(exchange.id) != null) {
            clientIds.remove(exchange.clientId);
            deadlines.drop(exchange);
            fleet.retired(exchange);
            unanswered = open.size();
        }
    }

    // ---- Dispatches

    @Override
    public void dispatchEnded(Dispatch dispatch, Outcome outcome, Response answer) {
        Exchange exchange = dispatch.exchange;
        boolean first = dispatch.end(outcome);
        counters.checkInvariant(first, "a dispatch ended twice");
        if (!exchange.awaitsResponse() && !exchange.streamingResponse()) {
            // The module must not try again for a client that has gone, even if this thread has not come to that yet.
            gone(exchange);
        }
        counters.count(Counter.valueOf("DISPATCHES_" + outcome));
        fleet.dispatched(dispatch, outcome, elapsed(dispatch));
        if (answer != null) {
            answer(exchange, answer);
        }
        if (!exchange.closed() && exchange.requestBodyConsumed()) {
            // What was handed on of its body can't be handed on again.
            tell(new Balancer.BodyState(exchange.id, true, false));
        }
        tell(new Balancer.AttemptEnded(
                exchange.id, dispatch.number, dispatch.server, exchange.closed(), outcome, elapsed(dispatch), null));
        retire(exchange);
    }

    /** From the session's last byte, where it was sent on before that. */
    private long elapsed(Dispatch dispatch) {
        return queue.now() - Math.max(dispatch.sentAt, dispatch.exchange.receivedAt());
    }

    @Override
    public void dispatchResponseStarted(Dispatch dispatch, Response answer) {
        Exchange exchange = dispatch.exchange;
        exchange.setStreamingResponse(true);
        if (!exchange.respond(answer)) {
            exchange.setStreamingResponse(false);
            if (exchange.limits.cancel()) {
                backend.cancel(dispatch);
            } else {
                ((Body.Streamed) ((Response.Served) answer).body()).pipe().cancel();
            }
            return;
        }
        counters.count(Counter.ANSWERS_IN_PIECES);
        deadlines.drop(exchange);
        tell(new Balancer.StreamStarted(exchange.id, dispatch.number, dispatch.server, elapsed(dispatch)));
    }

    @Override
    public void dispatchWritten() {
        stats.dispatchWritten();
    }

    void tell(Balancer.Event event) {
        balancer.on(queue.now(), event, actions);
    }

    // ---- The end

    /**
     * Guards against an answer in pieces that the platform's kill would find unfinished: a server that hangs in its
     * midst ends it here. What its client has not taken a little later, whether its server is done or not, ends with
     * the connection.
     */
    private void cutAnswers() {
        open.values().stream()
                .filter(e -> e.streamingResponse() && e.latestDispatch().pending())
                .toList()
                .forEach(e -> {
                    cutByStop(e);
                    backend.cancel(e.latestDispatch());
                });
        queue.schedule(TAKE_REST, () -> {
            open.values().stream()
                    .filter(e -> e.streamingResponse() && !e.responseAborted())
                    .forEach(this::cutByStop);
            frontend.abortStreamedResponses();
        });
    }

    private void cutByStop(Exchange exchange) {
        counters.count(Counter.SESSIONS_ENDED_BY_STOP);
        exchange.setResponseAborted(true);
    }

    /** What is open must have its answer before the platform ends this process, by the deadlines in force. */
    private void endBy() {
        deadlines.renew(open.values());
        if (cut != null) {
            cut.cancel();
        }
        cut = queue.schedule(
                Math.max(0, staff.lifecycle().responseDeadline(succession::longestDeadline) - queue.now()),
                this::cutAnswers);
    }

    /** Accepts a little longer, unless another process does; answers everything taken, and returns. */
    public void drain() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        queue.post(() -> {
            staff.end(processLock.otherProcessAlive());
            endBy();
            begun.countDown();
        });
        begun.await();
        Log.info(
                "draining",
                "unanswered=" + unanswered + " accompanied=" + staff.lifecycle().otherProcessServing());
        while (staff.lifecycle().acceptsConnections(queue.now())) {
            Thread.sleep(10);
        }
        frontend.stopAccepting();
        long stopped = System.nanoTime();
        // What was accepted last counts as connected only once the I/O thread has it.
        while ((unanswered > 0 || frontend.openConnections() > 0 || System.nanoTime() - stopped < TAKEN_OVER_NANOS)
                && System.nanoTime() - stopped < LONGEST_END_NANOS) {
            Thread.sleep(10);
        }
        frontend.close();
        fleet.stop();
        Log.info("drained", "unanswered=" + unanswered);
    }
}
