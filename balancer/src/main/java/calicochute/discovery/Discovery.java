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
 * Keeps the watch on the list of backend servers; discovery sends all of it where changes would not do. All on the
 * decision thread.
 */
public final class Discovery {
    private static final String PATH = "/v1/endpoints";
    /** Longer lists, in bytes, are read on a thread of their own. */
    private static final int LARGE = 1 << 16;

    private static final int BODY_LIMIT = 1 << 23;
    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private InetSocketAddress address;
    private final ListListener listener;
    private final Reader reader;
    private final WatchClock clock;
    private final Map<WatchClock.Call, Query> out = new HashMap<>();
    /** On whose connection the last answer came. */
    private Query latest;

    private DecisionQueue.Timer alarm;
    private long generation;
    private boolean told;
    private boolean lost;

    /** Makes a list of an answer's text. */
    interface Reader {
        ServerList read(String json) throws SettingsException;
    }

    /** @param rules where discovery is asked, pauses after calls that fail are at most half of its asking time */
    public Discovery(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            InetSocketAddress address,
            ListListener listener,
            Settings rules) {
        this(connector, queue, counters, address, listener, rules, ServerList::parse);
    }

    Discovery(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            InetSocketAddress address,
            ListListener listener,
            Settings rules,
            Reader reader) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
        this.reader = reader;
        clock = new WatchClock(rules.seed(), longestPause(rules));
    }

    private static long longestPause(Settings rules) {
        // Guards against a storm where no asking time is told: none is not 0.
        long askEvery = rules.rules().listRefreshInterval();
        return rules.subscribes() && askEvery > 0 ? askEvery / 2 : WatchClock.LONGEST;
    }

    /** New settings; a watch that is under way goes on. */
    public void retune(Settings rules) {
        clock.retune(longestPause(rules), queue.now());
        if (!rules.subscribes()) {
            begin();
        }
        look();
    }

    /** Where a watch goes on from. */
    public void startFrom(long known) {
        generation = known;
    }

    /**
     * Begins the watch by itself, where lists are pushed: they come on a watch too, the module asks for none there, and
     * from the first moment of a process it counts as told.
     */
    public void begin() {
        if (!clock.active()) {
            clock.begin(queue.now(), WatchClock.BEGIN_WITHIN);
            look();
        }
    }

    /**
     * Begins the watch, or ends it; one that is under way goes on. Under way is also one that has failed: the clock
     * owns the pauses, lest the module's come on top of them.
     */
    public void subscribe(boolean on) {
        if (!on) {
            clock.end();
            closeAll();
        } else if (!clock.active()) {
            clock.begin(queue.now(), 0);
        }
        look();
    }

    /**
     * Asks at another address from now on. The watch goes on there, from the version held: it is the same service, and
     * what it has to tell counts as told 4 s after the move. All balancers are told to move at once, so they spread a
     * little.
     */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            closeAll();
            clock.move(queue.now());
            look();
        }
    }

    private void closeAll() {
        out.values().forEach(Query::close);
        out.clear();
        if (latest != null) {
            latest.close();
        }
        latest = null;
        told = false;
    }

    /** Does what the clock says is due now, and looks again when it says. */
    private void look() {
        if (alarm != null) {
            alarm.cancel();
        }
        for (WatchClock.Act act = act(); act != null; act = act()) {
            if (act.kind() == WatchClock.Kind.BEGIN) {
                begin(act.call());
            } else {
                // One that is given up for silence has been counted when the next went out beside it.
                Query query = out.remove(act.call());
                query.fault(act.call().isConnected() ? "no answer" : "no connection");
                query.close();
            }
        }
        long due = clock.due();
        alarm = due == WatchClock.NEVER ? null : queue.schedule(Math.max(0, due - queue.now()), this::look);
        if (clock.lost() && !lost) {
            lost = true;
            told = false;
            listener.unavailable();
        }
    }

    private WatchClock.Act act() {
        return clock.act(queue.now(), latest != null && latest.connection.isOpen());
    }

    private void begin(WatchClock.Call call) {
        counters.count(Counter.DISCOVERY_CALLS);
        // One whose connection is still coming up is no silent one: that it never does is told when it is given up.
        List<Query> silent = out.entrySet().stream()
                .filter(e -> e.getKey().isConnected())
                .map(Map.Entry::getValue)
                .toList();
        if (!silent.isEmpty()) {
            counters.count(Counter.DISCOVERY_REOPENED);
            silent.forEach(q -> q.fault("no answer"));
        }
        Query query = call.isConnected() ? latest : new Query();
        latest = null;
        out.put(call, query);
        query.ask(call);
    }

    private void answered(Query from, WatchClock.Call call, ServerList list) {
        // The next call goes out before anything else: one that is late starts a new watch.
        generation = list.whole() ? list.generation() : Math.max(generation, list.generation());
        out.remove(call);
        out.values().forEach(Query::close);
        out.clear();
        latest = from;
        clock.answered(call, list.entries().isEmpty(), queue.now());
        look();
        lost = false;
        if (!told || list.whole() || !list.entries().isEmpty()) {
            told = true;
            listener.listed(list);
        }
    }

    /** What an answer's body says: a list, or else why it is none. */
    private record Reading(ServerList list, String error) {}

    private Reading reading(CallResult reply) {
        if (reply.status() != 200) {
            return new Reading(null, "no list");
        }
        try {
            return new Reading(reader.read(new String(reply.body(), StandardCharsets.UTF_8)), null);
        } catch (SettingsException e) {
            return new Reading(null, e.getMessage());
        }
    }

    /** Calls to discovery, one after another on a connection of their own, until one fails. */
    private final class Query {
        private Connection connection;
        private boolean faulted;

        void ask(WatchClock.Call call) {
            if (call.isConnected()) {
                send(call);
                return;
            }
            connection = connector.open(
                    address,
                    WatchClock.CONNECT,
                    c -> queue.post(() -> {
                        if (out.get(call) == this) {
                            call.connected();
                            send(call);
                        }
                    }),
                    e -> queue.post(() -> fail(call, String.valueOf(e.getMessage()))),
                    c -> {});
        }

        private void send(WatchClock.Call call) {
            BasicHttpRequest request =
                    new BasicHttpRequest("GET", PATH + "?since=" + generation + "&timeout_ms=" + call.waitMs);
            request.addHeader("Host", address.getHostString() + ":" + address.getPort());
            connection.call(request, new byte[0], BODY_LIMIT, r -> read(call, r));
        }

        /** On an I/O thread, which carries sessions too. */
        private void read(WatchClock.Call call, CallResult reply) {
            if (reply.body().length <= LARGE) {
                queue.post(() -> replied(call, reply, reading(reply)));
                return;
            }
            // Guards against sessions that wait while a long list is read: 10,000 entries took 0.3 s in a young
            // process.
            Thread thread = new Thread(
                    () -> {
                        Reading reading = new Reading(null, "could not be read");
                        try {
                            reading = reading(reply);
                        } finally {
                            // Guards against a watch that waits for good: while an answer is read, no other is asked
                            // for.
                            Reading read = reading;
                            queue.post(() -> replied(call, reply, read));
                        }
                    },
                    "list");
            thread.setDaemon(true);
            thread.start();
            // Only once it runs; where it is done before, this finds the call over.
            queue.post(() -> here(call));
        }

        private void here(WatchClock.Call call) {
            if (out.get(call) == this) {
                call.here();
                look();
            }
        }

        private void replied(WatchClock.Call call, CallResult reply, Reading reading) {
            // One that was given up is not read: whoever came after it has asked from the same generation.
            if (out.get(call) != this) {
                return;
            }
            if (reply.status() != 200) {
                fail(call, reply.status() == 0 ? "connection lost" : "status " + reply.status());
                return;
            }
            ServerList list = reading.list();
            if (list == null) {
                counters.count(Counter.DISCOVERY_MALFORMED);
                fail(call, reading.error());
            } else if (list.changesOlderThan(generation)) {
                // Guards against an old word on servers that newer words were heard on: none of it is taken.
                counters.count(Counter.DISCOVERY_OLDER);
                fail(call, "changes of generation " + list.generation() + " where " + generation + " is held");
            } else {
                counters.count(Counter.DISCOVERY_ANSWERS);
                faulted = false;
                if (!reply.connectionReusable()) {
                    connection.close();
                }
                answered(this, call, list);
            }
        }

        private void fail(WatchClock.Call call, String why) {
            if (out.remove(call, this)) {
                fault(why);
                close();
                clock.failed(call, queue.now());
                look();
            }
        }

        /** Counted once a call, though one may be silent first and fail then. */
        void fault(String why) {
            if (!faulted) {
                faulted = true;
                counters.count(Counter.DISCOVERY_FAILURES);
                Log.warn("discovery-failed", why);
            }
        }

        void close() {
            if (connection != null) {
                connection.close();
            }
        }
    }
}
