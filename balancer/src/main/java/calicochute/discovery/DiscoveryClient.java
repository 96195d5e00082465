package calicochute.discovery;

import calicochute.connection.CallResult;
import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.decision.Balancer.Settings;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Watches the list of backend servers at the discovery service by long polling; discovery sends the full list if
 * changes are not enough. All methods are called on the decision thread.
 */
public final class DiscoveryClient {
    private static final String PATH = "/v1/endpoints";
    /** Lists longer than this are parsed on a thread of their own. */
    private static final int LARGE_LIST_BYTES = 1 << 16;

    /**
     * After so many responses in a row of an older generation, discovery has begun its generations anew without telling
     * the whole list, which is then requested. A single one may be a late response.
     */
    private static final int MAX_OLDER_RESPONSES = 2;

    /** Longest response that is accepted. */
    private static final int MAX_BODY_BYTES = 1 << 23;

    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private InetSocketAddress address;
    private final ServerListListener listener;
    private final ListParser parser;
    private final WatchSchedule schedule;
    private final Map<WatchSchedule.Call, WatchConnection> pendingCalls = new HashMap<>();
    /** The connection on which the last response arrived; null while a call is in progress on it. */
    private WatchConnection watchConnection;

    private DecisionQueue.Timer timer;
    private long generation;
    /** Responses in a row whose generation was older than the current one. */
    private int olderResponses;
    /** A list was reported since the watch started or since discovery became unavailable. */
    private boolean reported;
    /** Discovery was reported as unavailable. */
    private boolean unavailable;

    /** Parses the body of a response. */
    interface ListParser {
        ServerList parse(String json) throws SettingsException;
    }

    /**
     * Creates an inactive client. If lists are requested rather than pushed, pauses after failed calls are at most half
     * of the interval at which the decision module asks.
     */
    public DiscoveryClient(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            InetSocketAddress address,
            ServerListListener listener,
            Settings settings) {
        this(connector, queue, counters, address, listener, settings, ServerList::parse);
    }

    DiscoveryClient(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            InetSocketAddress address,
            ServerListListener listener,
            Settings settings,
            ListParser parser) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
        this.parser = parser;
        schedule = new WatchSchedule(settings.seed(), maxPauseMicros(settings));
    }

    private static long maxPauseMicros(Settings settings) {
        // An interval of 0 means that none is configured; a pause limit of 0 would cause a storm of calls.
        long askEveryMicros = settings.rules().listRefreshInterval();
        return settings.subscribes() && askEveryMicros > 0 ? askEveryMicros / 2 : WatchSchedule.MAX_RETRY_MICROS;
    }

    /** Applies new settings; a watch in progress continues. */
    public void updateSettings(Settings settings) {
        schedule.setMaxPause(maxPauseMicros(settings), queue.now());
        if (!settings.subscribes()) {
            startSpread();
        }
        runDueActions();
    }

    /** Sets the generation from which the watch continues. */
    public void resumeFrom(long knownGeneration) {
        generation = knownGeneration;
    }

    /**
     * Starts the watch without a request of the decision module, for settings in which lists are pushed: they arrive on
     * a watch too, the decision module requests none, and calls cost discovery nothing. The first call is made at once:
     * what discovery has counts as known from the first moment of the process.
     */
    public void startAtOnce() {
        if (!schedule.isActive()) {
            schedule.startAtOnce(queue.now());
            runDueActions();
        }
    }

    /** As above after a reload, which all balancers get at the same moment: the starts are spread. */
    private void startSpread() {
        if (!schedule.isActive()) {
            schedule.start(queue.now(), WatchSchedule.START_SPREAD_MICROS);
            runDueActions();
        }
    }

    /**
     * Starts or stops the watch; one in progress continues. A watch that has failed is still in progress: the schedule
     * alone decides its pauses, so that those of the decision module are not added to them.
     */
    public void setSubscribed(boolean subscribed) {
        if (!subscribed) {
            schedule.stop();
            closeAll();
        } else if (!schedule.isActive()) {
            schedule.start(queue.now(), 0);
        }
        runDueActions();
    }

    /**
     * Moves the watch to another address. It continues from the current generation, because it is the same service, and
     * updates have to be known 4 s after the move. All balancers are moved at the same time, so their starts are
     * spread.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeAll();
            schedule.move(queue.now());
            runDueActions();
        }
    }

    private void closeAll() {
        pendingCalls.values().forEach(WatchConnection::close);
        pendingCalls.clear();
        if (watchConnection != null) {
            watchConnection.close();
        }
        watchConnection = null;
        reported = false;
    }

    /** Runs the actions that are due and schedules the next run. */
    private void runDueActions() {
        if (timer != null) {
            timer.cancel();
        }
        for (WatchSchedule.Action action = nextAction(); action != null; action = nextAction()) {
            if (action.kind() == WatchSchedule.Kind.START) {
                startCall(action.call());
            } else {
                // For an unanswered call the failure was counted when the next call started beside it.
                WatchConnection target = pendingCalls.remove(action.call());
                target.reportFailure(action.call().isConnected() ? "no answer" : "no connection");
                target.close();
            }
        }
        long nextRunAt = schedule.nextActionAt();
        timer = nextRunAt == WatchSchedule.NEVER
                ? null
                : queue.schedule(Math.max(0, nextRunAt - queue.now()), this::runDueActions);
        if (schedule.isUnavailable() && !unavailable) {
            unavailable = true;
            reported = false;
            listener.discoveryUnavailable();
        }
    }

    private WatchSchedule.Action nextAction() {
        return schedule.nextAction(queue.now(), watchConnection != null && watchConnection.connection.isOpen());
    }

    private void startCall(WatchSchedule.Call call) {
        counters.count(Counter.DISCOVERY_CALLS);
        // A call whose connection is still being established is not counted here, but when it is abandoned.
        List<WatchConnection> unanswered = pendingCalls.entrySet().stream()
                .filter(entry -> entry.getKey().isConnected())
                .map(Map.Entry::getValue)
                .toList();
        if (!unanswered.isEmpty()) {
            counters.count(Counter.DISCOVERY_REOPENED);
            unanswered.forEach(connection -> connection.reportFailure("no answer"));
        }
        WatchConnection target = call.isConnected() ? watchConnection : new WatchConnection();
        watchConnection = null;
        pendingCalls.put(call, target);
        target.start(call);
    }

    private void answered(WatchConnection source, WatchSchedule.Call call, ServerList list) {
        // The next call starts before anything else: after a delay discovery would treat it as a new watch.
        generation = list.full() ? list.generation() : Math.max(generation, list.generation());
        pendingCalls.remove(call);
        pendingCalls.values().forEach(WatchConnection::close);
        pendingCalls.clear();
        watchConnection = source;
        schedule.answered(call, list.entries().isEmpty(), queue.now());
        runDueActions();
        unavailable = false;
        if (!reported || list.full() || !list.entries().isEmpty()) {
            reported = true;
            listener.serverListReceived(list);
        }
    }

    /** Has the whole list requested at once. */
    private void requestWholeList(WatchConnection source, WatchSchedule.Call call) {
        Log.warn("discovery-restarted", "generations are older than " + generation + "; the whole list is requested");
        pendingCalls.remove(call);
        pendingCalls.values().forEach(WatchConnection::close);
        pendingCalls.clear();
        watchConnection = source;
        schedule.answered(call, false, queue.now());
        runDueActions();
    }

    /** The result of parsing a response: a list, or the error. */
    private record ParseResult(ServerList list, String error) {}

    private ParseResult parse(CallResult result) {
        if (result.status() != 200) {
            return new ParseResult(null, "no list");
        }
        try {
            return new ParseResult(parser.parse(new String(result.body(), StandardCharsets.UTF_8)), null);
        } catch (SettingsException e) {
            return new ParseResult(null, e.getMessage());
        }
    }

    /** A connection to discovery and the calls on it, one at a time, until one fails. */
    private final class WatchConnection {
        private Connection connection;
        private boolean failureReported;

        /** Starts the call, on a new connection unless the call is connected. */
        void start(WatchSchedule.Call call) {
            if (call.isConnected()) {
                send(call);
                return;
            }
            connection = connector.open(
                    address,
                    WatchSchedule.CONNECT_TIMEOUT_MICROS,
                    ignored -> queue.post(() -> {
                        if (pendingCalls.get(call) == this) {
                            call.connected();
                            send(call);
                        }
                    }),
                    cause -> queue.post(() -> fail(call, String.valueOf(cause.getMessage()))),
                    ignored -> {});
        }

        private void send(WatchSchedule.Call call) {
            String query =
                    olderResponses < MAX_OLDER_RESPONSES ? "?since=" + generation + "&timeout_ms=" + call.waitMs : "";
            BasicHttpRequest request = new BasicHttpRequest("GET", PATH + query);
            request.addHeader("Host", address.getHostString() + ":" + address.getPort());
            connection.call(request, new byte[0], MAX_BODY_BYTES, result -> parseResponse(call, result));
        }

        /** Parses the response; called on an I/O thread, which serves sessions too. */
        private void parseResponse(WatchSchedule.Call call, CallResult result) {
            if (result.body().length <= LARGE_LIST_BYTES) {
                queue.post(() -> onCallEnded(call, result, parse(result)));
                return;
            }
            // Sessions must not wait while a long list is parsed: 10,000 entries took 0.3 s in a new process.
            Thread thread = new Thread(
                    () -> {
                        ParseResult parsed = new ParseResult(null, "list could not be parsed");
                        try {
                            parsed = parse(result);
                        } finally {
                            // Always posted: while a response is being parsed no other call starts, so a missing
                            // result would stop the watch.
                            ParseResult finalResult = parsed;
                            queue.post(() -> onCallEnded(call, result, finalResult));
                        }
                    },
                    "list");
            thread.setDaemon(true);
            thread.start();
            // Posted only after the thread has started; if the thread is done before, the call has already ended.
            queue.post(() -> onResponseReceived(call));
        }

        private void onResponseReceived(WatchSchedule.Call call) {
            if (pendingCalls.get(call) == this) {
                call.responseReceived();
                runDueActions();
            }
        }

        private void onCallEnded(WatchSchedule.Call call, CallResult result, ParseResult parsed) {
            // The response to an abandoned call is ignored: the call that replaced it asked from the same
            // generation.
            if (pendingCalls.get(call) != this) {
                return;
            }
            if (result.status() != 200) {
                fail(call, result.status() == 0 ? "connection lost" : "status " + result.status());
                return;
            }
            ServerList list = parsed.list();
            if (list == null) {
                counters.count(Counter.DISCOVERY_MALFORMED);
                fail(call, parsed.error());
                return;
            }
            olderResponses = list.full() || list.generation() >= generation ? 0 : olderResponses + 1;
            if (olderResponses == MAX_OLDER_RESPONSES) {
                counters.count(Counter.DISCOVERY_OLDER);
                requestWholeList(this, call);
            } else if (list.isOlderUpdate(generation)) {
                // Changes older than the current generation are rejected as a whole, as newer ones were applied
                // already.
                counters.count(Counter.DISCOVERY_OLDER);
                fail(call, "changes of generation " + list.generation() + " are older than generation " + generation);
            } else {
                counters.count(Counter.DISCOVERY_ANSWERS);
                failureReported = false;
                if (!result.connectionReusable()) {
                    connection.close();
                }
                answered(this, call, list);
            }
        }

        private void fail(WatchSchedule.Call call, String reason) {
            if (pendingCalls.remove(call, this)) {
                reportFailure(reason);
                close();
                schedule.failed(call, queue.now());
                runDueActions();
            }
        }

        /** Counts and logs the failure of a call; once only, though a call may be unanswered first and fail later. */
        void reportFailure(String reason) {
            if (!failureReported) {
                failureReported = true;
                counters.count(Counter.DISCOVERY_FAILURES);
                Log.warn("discovery-failed", reason);
            }
        }

        void close() {
            if (connection != null) {
                connection.close();
            }
        }
    }
}
