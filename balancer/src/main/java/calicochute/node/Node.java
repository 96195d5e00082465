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
import calicochute.fleet.FleetParticipant;
import calicochute.frontend.Frontend;
import calicochute.lifecycle.Lifecycle;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.metrics.OperatorStats;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import calicochute.settings.SettingsHistory;
import calicochute.takeover.FirstList;
import calicochute.takeover.LearntFile;
import calicochute.takeover.ListOrigin;
import calicochute.takeover.Origin;
import calicochute.takeover.ProcessLock;
import calicochute.takeover.ServerListFile;
import calicochute.takeover.SharedFolder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * One balancer process: passes what arrives on its sockets to the decision module as events, and carries out the
 * module's actions. Everything except start and stop runs on the decision thread.
 */
public final class Node implements SessionListener, DispatchListener {
    /** Time allowed for writing a dispatch. */
    private static final long WRITE_MARGIN_MICROS = 10_000;
    /** Time until a connection accepted last is registered with its I/O thread and counted as open. */
    private static final long ACCEPT_HANDOVER_NANOS = 100_000_000L;
    /** Interval of the checks of client connections' timeouts. */
    private static final long TIMEOUT_CHECK_MICROS = 50_000;
    /** Where lists are pushed: how long the start waits for discovery's first answer, which comes at once if at all. */
    private static final long FIRST_LIST_TIMEOUT_MS = 1000;
    /** Greatest time that a stop waits for sessions and connections to end. */
    private static final long MAX_DRAIN_NANOS = 10_000_000_000L;

    private final Configuration configuration;
    private volatile SettingsHistory settingsHistory;
    private final Counters counters;
    private final DecisionQueue queue;
    private final Connector connector = new Connector();
    private final BackendServers backendServers;
    private final FileThread fileThread = new FileThread();
    private final DiscoveryClient discovery;
    /** As in the configuration in force. */
    private volatile InetSocketAddress discoveryAddress;

    private final Membership membership;
    private final ServerListHandover serverListHandover;
    private final Frontend frontend;
    private final AdminServer admin;
    private final ProcessLock processLock;
    private final LearntStatePersistence learntStatePersistence;
    private final OperatorCommands operators;
    private final FleetParticipant fleet;
    private final OperatorStats stats = new OperatorStats();
    private final Balancer balancer;
    private final Balancer.Actions actions;
    private final Map<Long, Exchange> openSessions = new HashMap<>();
    private final DeadlineGuards deadlineGuards;
    private final SessionIds sessionIds;
    private final StopDeadline stopDeadline;

    /** Size of {@link #openSessions}, for other threads. */
    private volatile int openCount;

    /** A balancer that opens its own listening socket and shares no folder with other processes. */
    public Node(Configuration configuration, Counters counters) throws IOException {
        this(configuration, counters, null, null);
    }

    /**
     * @param inheritedSocket a socket that already listens for clients, or null
     * @param sharedFolder the folder that all processes of this balancer share, or null
     */
    public Node(
            Configuration configuration,
            Counters counters,
            ServerSocketChannel inheritedSocket,
            SharedFolder sharedFolder)
            throws IOException {
        this.configuration = configuration;
        this.counters = counters;
        Settings settings = configuration.settings();
        settingsHistory = SettingsHistory.of(settings);
        queue = new DecisionThread(counters);
        balancer = Balancer.create(settings);
        backendServers = new BackendServers(
                connector,
                queue,
                counters,
                settings.limits().connectTimeout(),
                configuration.connectionIdleMicros(),
                configuration.bounds(),
                this);
        // Only if successive processes of this balancer share a listening socket.
        SharedFolder handoverFolder = inheritedSocket == null ? null : sharedFolder;
        membership = new Membership(
                backendServers, stats, queue, new CordonFile(sharedFolder, settings.tier()), fileThread, this::tell);
        discoveryAddress = configuration.discovery();
        serverListHandover = new ServerListHandover(
                handoverFolder == null ? null : new ServerListFile(handoverFolder, ListOrigin.of(configuration)),
                fileThread,
                queue,
                membership,
                () -> discoveryAddress.toString());
        discovery = new DiscoveryClient(
                connector, queue, counters, configuration.discovery(), serverListHandover, settings);
        fleet = FleetFactory.create(configuration, queue, () -> settingsHistory, this::tell);
        actions = new ModuleActions(this, openSessions, backendServers, discovery, queue, counters);
        membership.setFleet(fleet);
        operators = new OperatorCommands(queue, membership, stats, fleet);
        frontend = new Frontend(
                configuration,
                inheritedSocket,
                queue,
                this,
                counters,
                membership::everListed,
                operators::lifecycle,
                () -> settingsHistory);
        operators.onCloseIdle(frontend::closeIdle);
        deadlineGuards = new DeadlineGuards(queue, this::responseDeadline, this::overdue);
        stopDeadline = new StopDeadline(
                queue,
                counters,
                openSessions.values(),
                deadlineGuards,
                this::responseDeadline,
                backendServers::cancel,
                frontend::abortStreamedResponses);
        connector.onDescriptorShortage(frontend::handleDescriptorShortage);
        admin = configuration.admin() == null
                ? null
                : new AdminServer(operators, counters, frontend::handleDescriptorShortage);
        processLock = new ProcessLock(sharedFolder);
        learntStatePersistence = handoverFolder == null
                ? null
                : new LearntStatePersistence(
                        new LearntFile(handoverFolder),
                        () -> Origin.of(configuration.name(), settingsHistory.current()),
                        balancer,
                        queue,
                        counters,
                        fileThread::execute,
                        () -> operators.lifecycle().state() != Lifecycle.State.STOPPING);
        sessionIds = new SessionIds(handoverFolder);
        settings.classes().forEach(c -> stats.addClass(c.name()));
    }

    /** Starts to serve; returns the address that clients connect to. */
    public InetSocketAddress start() throws IOException, InterruptedException, SettingsException {
        ServerList known = configuration.known().isEmpty() ? null : ServerList.parse(configuration.known());
        connector.start();
        // Before the module gets a list: a cordoned server must not get any dispatch.
        membership.readCordons();
        FirstList first = serverListHandover.firstList(known, processLock.otherProcessAlive());
        queue.post(() -> restore(first));
        if (learntStatePersistence != null) {
            learntStatePersistence.start();
        }
        fleet.start();
        if (admin != null) {
            Log.info("admin", "address=" + admin.start(configuration.admin()));
        }
        if (!configuration.settings().subscribes()) {
            // What discovery has counts as known from the first moment, so clients are served by it from the first on.
            serverListHandover.awaitFirstCall(FIRST_LIST_TIMEOUT_MS);
        }
        InetSocketAddress address = frontend.start();
        queue.post(this::checkTimeouts);
        operators.listening();
        return address;
    }

    /** The time by which a stop of the process requires all responses. */
    private long responseDeadline() {
        return operators.lifecycle().responseDeadline(settingsHistory::longestDeadline);
    }

    private void checkTimeouts() {
        frontend.checkTimeouts();
        if (admin != null) {
            admin.checkTimeouts();
        }
        queue.schedule(TIMEOUT_CHECK_MICROS, this::checkTimeouts);
    }

    /**
     * Applies the parts of a configuration that can change while the process runs: the settings and the address of
     * discovery. Addresses of this process, its name and its limits stay as they were at the start.
     */
    public void reload(Configuration changed) throws SettingsException {
        // The history changes only here, one reload at a time; if next() rejects the settings nothing changes.
        SettingsHistory next = settingsHistory.next(changed.settings(), queue.now());
        queue.post(() -> {
            settingsHistory = next;
            next.classes().forEach(c -> stats.addClass(c.name()));
            backendServers.updateTimeouts(changed.settings().limits().connectTimeout(), changed.connectionIdleMicros());
            tell(new Balancer.SettingsChanged(next.forDecisionModule()));
            counters.count(Counter.RELOADS);
            stats.reloadEnded(true);
            Log.info(
                    "reloaded",
                    "discovery=" + changed.discovery() + " classes="
                            + changed.settings().classes().stream()
                                    .map(Balancer.RequestClass::name)
                                    .toList());
            discoveryAddress = changed.discovery();
            discovery.moveTo(discoveryAddress);
            discovery.updateSettings(changed.settings());
            if (operators.lifecycle().state() == Lifecycle.State.STOPPING) {
                // The platform waits for the deadlines of these settings before it kills the process.
                stopDeadline.apply();
            }
            // After the settings are in force: the operator's file is validated against them and may name a new class.
            // On the file thread, since it reads a file.
            fileThread.execute(fleet::reload);
        });
    }

    /** Records that a new configuration was rejected and nothing changed. */
    public void reloadFailed(String reason) {
        counters.count(Counter.RELOADS_FAILED);
        stats.reloadEnded(false);
        Log.warn("reload-failed", reason);
    }

    private void restore(FirstList first) {
        serverListHandover.start(first, discovery);
        if (!configuration.settings().subscribes()) {
            discovery.startAtOnce();
        }
    }

    // ---- Sessions

    @Override
    public void sessionStarted(Exchange exchange) {
        queue.post(() -> admit(exchange));
    }

    @Override
    public void clientGone(Exchange exchange) {
        exchange.markClientGone();
        queue.post(() -> endGoneSession(exchange));
    }

    private void admit(Exchange exchange) {
        counters.count(Counter.SESSIONS_TAKEN);
        stats.sessionStarted();
        if (!exchange.awaitsResponse()) {
            // The client has gone before this thread handled the session: no dispatch is started.
            counters.count(Counter.SESSIONS_CLIENT_GONE);
            countEnd(exchange, OperatorStats.SessionEnd.GONE);
            exchange.abandon();
            exchange.end();
            return;
        }
        if (openCount >= exchange.limits.maxOpen()) {
            counters.count(Counter.SESSIONS_OVER_LIMIT);
            respond(exchange, new Response.Denied(exchange.limits.advisedRetryAfter()));
            exchange.end();
            return;
        }
        if (!sessionIds.open(exchange, isRepeatable(exchange), queue.now())) {
            // A second session of the same client id would duplicate the dispatches of the first.
            counters.count(Counter.SESSIONS_BAD_INPUT);
            exchange.respond(new Response.Duplicate());
            SessionLog.ended(exchange, "duplicate-id", queue.now());
            countEnd(exchange, OperatorStats.SessionEnd.FAILED);
            exchange.end();
            return;
        }
        openSessions.put(exchange.id, exchange);
        openCount = openSessions.size();
        long timeLeftMicros = exchange.responseDue(queue.now()) - queue.now();
        deadlineGuards.guard(exchange);
        if (!exchange.requestComplete()) {
            counters.count(Counter.SESSIONS_IN_PIECES);
        }
        tell(new Balancer.Arrival(
                exchange.id,
                exchange.classIndex,
                exchange.tenantIndex,
                null,
                Math.max(0, timeLeftMicros),
                exchange.clientRetry,
                fleet.sessionStarted(exchange)));
    }

    private boolean isRepeatable(Exchange exchange) {
        return settingsHistory.classes().get(exchange.classIndex).effect() == Balancer.Effect.REPEATABLE;
    }

    /** Called before a dispatch of the session is sent. */
    void dispatching(Exchange exchange) {
        sessionIds.dispatching(exchange, isRepeatable(exchange));
    }

    /**
     * The time until which a further dispatch of the session may be sent. Servers discard duplicates of a keyed request
     * only for a limited time after the first dispatch that may have been executed, and writing takes time too.
     */
    long repeatableUntilMicros(Exchange exchange) {
        Dispatch firstPossiblyExecuted = exchange.firstPossiblyExecuted();
        Balancer.RequestClass requestClass = settingsHistory.classes().get(exchange.classIndex);
        return firstPossiblyExecuted == null || requestClass.effect() != Balancer.Effect.KEYED
                ? Long.MAX_VALUE
                : firstPossiblyExecuted.sentAt + requestClass.window() - WRITE_MARGIN_MICROS;
    }

    @Override
    public void requestCompleted(Exchange exchange) {
        queue.post(() -> {
            exchange.completeRequest();
            if (!exchange.closed() && openSessions.containsKey(exchange.id)) {
                deadlineGuards.guard(exchange);
                tell(Balancer.BodyState.complete(exchange.id, exchange.receivedAt()));
            }
        });
    }

    @Override
    public void responseEnded(Exchange exchange, boolean complete) {
        queue.post(() -> endStreamedResponse(exchange, complete));
    }

    /** Ends a session whose response was streamed; such a session ends only when its response has. */
    private void endStreamedResponse(Exchange exchange, boolean complete) {
        if (!exchange.streamingResponse()) {
            return;
        }
        exchange.setStreamingResponse(false);
        // If the server broke off the response the session has failed; if the client went away it has not.
        boolean failed = !complete
                && (exchange.responseAborted()
                        || exchange.latestDispatch() != null
                                && !exchange.latestDispatch().pending()
                                && !exchange.latestDispatch().succeeded());
        counters.count(
                complete ? Counter.SESSIONS_SERVED : failed ? Counter.SESSIONS_FAILED : Counter.SESSIONS_CLIENT_GONE);
        countEnd(
                exchange,
                complete
                        ? OperatorStats.SessionEnd.COMPLETED
                        : failed ? OperatorStats.SessionEnd.FAILED : OperatorStats.SessionEnd.GONE);
        fleet.sessionAnswered(exchange, complete, failed);
        if (!complete && exchange.limits.cancel()) {
            exchange.pendingDispatches().forEach(backendServers::cancel);
        }
        retire(exchange);
    }

    private void endGoneSession(Exchange exchange) {
        endStreamedResponse(exchange, false);
        if (!exchange.closed()) {
            counters.count(Counter.SESSIONS_CLIENT_GONE);
            countEnd(exchange, OperatorStats.SessionEnd.GONE);
            fleet.sessionAnswered(exchange, false, false);
            SessionLog.ended(exchange, "client-gone", queue.now());
            exchange.abandon();
            withdraw(exchange);
            retire(exchange);
        }
    }

    /**
     * Answers a session that the decision module has not answered in time: before the client's timeout, or before the
     * platform kills the process if that comes first.
     */
    private void overdue(Exchange exchange) {
        if (exchange.closed()) {
            return;
        }
        long now = queue.now();
        boolean stopping = now < exchange.responseDue(now);
        counters.count(stopping ? Counter.SESSIONS_ENDED_BY_STOP : Counter.SESSIONS_ENDED_BY_DEADLINE);
        respond(
                exchange,
                exchange.mayHaveExecuted()
                        ? new Response.Failed(!stopping)
                        : new Response.Denied(exchange.limits.advisedRetryAfter()));
        withdraw(exchange);
        retire(exchange);
    }

    /**
     * Tells the module that the client is gone, so that it cancels dispatches on the wire if the settings allow that.
     * Dispatches that are not on the wire yet must not start in any case.
     */
    private void withdraw(Exchange exchange) {
        tell(new Balancer.ClientGone(exchange.id));
        exchange.pendingDispatches().forEach(backendServers::sessionEnded);
    }

    /** Gives a session its response, unless it has one already. */
    void respond(Exchange exchange, Response response) {
        if (exchange.respond(response)) {
            counters.count(
                    response instanceof Response.Served
                            ? Counter.SESSIONS_SERVED
                            : response instanceof Response.Denied ? Counter.SESSIONS_DENIED : Counter.SESSIONS_FAILED);
            countEnd(
                    exchange,
                    response instanceof Response.Served
                            ? OperatorStats.SessionEnd.COMPLETED
                            : response instanceof Response.Denied
                                    ? OperatorStats.SessionEnd.REJECTED
                                    : OperatorStats.SessionEnd.FAILED);
            if (!(response instanceof Response.Served)) {
                SessionLog.ended(exchange, response.getClass().getSimpleName().toLowerCase(Locale.ROOT), queue.now());
            }
            fleet.sessionAnswered(
                    exchange, response instanceof Response.Served, !(response instanceof Response.Served));
            deadlineGuards.cancel(exchange);
            retire(exchange);
        }
    }

    private void countEnd(Exchange exchange, OperatorStats.SessionEnd end) {
        stats.sessionEnded(settingsHistory.classes().get(exchange.classIndex).name(), end);
    }

    /** Forgets a session that is closed and has no pending dispatch. */
    private void retire(Exchange exchange) {
        if (exchange.closed()
                && !exchange.anyPending()
                && !exchange.streamingResponse()
                && openSessions.remove(exchange.id) != null) {
            sessionIds.close(exchange, isRepeatable(exchange), queue.now());
            deadlineGuards.cancel(exchange);
            fleet.sessionRetired(exchange);
            exchange.end();
            openCount = openSessions.size();
        }
    }

    // ---- Dispatches

    @Override
    public void dispatchEnded(Dispatch dispatch, Outcome outcome, Response response) {
        Exchange exchange = dispatch.exchange;
        boolean newlyEnded = dispatch.end(outcome);
        counters.checkInvariant(newlyEnded, "a dispatch ended twice");
        if (!exchange.awaitsResponse() && !exchange.streamingResponse()) {
            // The module must not retry for a client that has gone, even if clientGone is still queued.
            endGoneSession(exchange);
        }
        refuseIfClientUnobserved(exchange, outcome);
        counters.count(Counter.valueOf("DISPATCHES_" + outcome));
        SessionLog.dispatchEnded(dispatch, outcome, queue.now());
        fleet.dispatchEnded(dispatch, outcome, elapsedMicros(dispatch));
        if (response != null) {
            respond(exchange, response);
        }
        if (!exchange.closed() && exchange.requestBodyConsumed()) {
            // The part of the request body that was passed on cannot be sent again.
            tell(Balancer.BodyState.partlySent(exchange.id));
        }
        tell(new Balancer.AttemptEnded(
                exchange.id,
                dispatch.number,
                dispatch.server,
                exchange.closed(),
                outcome,
                elapsedMicros(dispatch),
                null));
        retire(exchange);
    }

    /**
     * Refuses a session whose dispatch was held back because its client may have left: no later dispatch could begin
     * either.
     */
    private void refuseIfClientUnobserved(Exchange exchange, Outcome outcome) {
        if (outcome == Outcome.MOOT && exchange.awaitsResponse() && !exchange.clientObserved(queue.now())) {
            counters.count(Counter.SESSIONS_CLIENT_UNOBSERVED);
            respond(exchange, new Response.Denied(exchange.limits.advisedRetryAfter()));
        }
    }

    /** Time since the dispatch was sent, or since the request's last byte if that came later. */
    private long elapsedMicros(Dispatch dispatch) {
        return queue.now() - Math.max(dispatch.sentAt, dispatch.exchange.receivedAt());
    }

    @Override
    public void dispatchResponseStarted(Dispatch dispatch, Response response) {
        Exchange exchange = dispatch.exchange;
        exchange.setStreamingResponse(true);
        if (!exchange.respond(response)) {
            exchange.setStreamingResponse(false);
            if (exchange.limits.cancel()) {
                backendServers.cancel(dispatch);
            } else {
                ((Body.Streamed) ((Response.Served) response).body()).pipe().cancel();
            }
            return;
        }
        counters.count(Counter.ANSWERS_IN_PIECES);
        deadlineGuards.cancel(exchange);
        tell(new Balancer.StreamStarted(exchange.id, dispatch.number, dispatch.server, elapsedMicros(dispatch)));
    }

    @Override
    public void dispatchWritten() {
        stats.dispatchWritten();
    }

    void tell(Balancer.Event event) {
        balancer.on(queue.now(), event, actions);
    }

    // ---- Stop

    /**
     * Stops the process after SIGTERM: accepts clients a little longer unless another process does, answers all
     * accepted sessions, and returns.
     */
    public void drain() throws InterruptedException {
        CountDownLatch stopBegun = new CountDownLatch(1);
        queue.post(() -> {
            operators.stop(processLock.otherProcessAlive());
            stopDeadline.apply();
            stopBegun.countDown();
        });
        stopBegun.await();
        Log.info(
                "draining",
                "unanswered=" + openCount + " accompanied="
                        + operators.lifecycle().otherProcessServing());
        while (operators.lifecycle().acceptsConnections(queue.now())) {
            Thread.sleep(10);
        }
        frontend.stopAccepting();
        if (operators.lifecycle().otherProcessServing()) {
            // Both processes share one memory limit, and the other one takes over the clients and their bodies.
            System.gc();
        }
        long stoppedNanos = System.nanoTime();
        // A connection accepted last is counted as open only after its I/O thread has registered it.
        while ((openCount > 0
                        || frontend.openConnections() > 0
                        || System.nanoTime() - stoppedNanos < ACCEPT_HANDOVER_NANOS)
                && System.nanoTime() - stoppedNanos < MAX_DRAIN_NANOS) {
            Thread.sleep(10);
        }
        frontend.close();
        fleet.stop();
        serverListHandover.stop();
        Log.info("drained", "unanswered=" + openCount);
    }
}
