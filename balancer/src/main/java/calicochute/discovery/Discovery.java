package calicochute.discovery;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.connection.Reply;
import calicochute.decision.Balancer.Settings;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Keeps the watch on the list of backend servers; discovery sends all of it where changes would not do. All on the decision thread. */
public final class Discovery {
    private static final String PATH = "/v1/endpoints";
    /** Between failed calls at most, where lists are pushed and so no time for asking is given. */
    private static final long PUSHED_PAUSE = 4_000_000;
    /** Longer lists, in bytes, are read on a thread of their own. */
    private static final int LARGE = 1 << 16;
    private static final int BODY_LIMIT = 1 << 23;
    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private InetSocketAddress address;
    private final ListListener listener;
    private Query watch;
    private final WatchClock clock;
    private long generation;
    private boolean told;

    /** @param rules where discovery is asked, calls that fail are at most half of its asking time apart */
    public Discovery(Connector connector, DecisionQueue queue, Counters counters, InetSocketAddress address,
                     ListListener listener, Settings rules) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
        clock = new WatchClock(rules.seed(), rules.subscribes() ? rules.rules().askEvery() / 2 : PUSHED_PAUSE);
    }

    /** Where a watch goes on from. */
    public void startFrom(long known) {
        generation = known;
    }

    /**
     * Begins the watch by itself, where lists are pushed: they come on a watch too, the module asks for none there, and from
     * the first moment of a process it counts as told.
     */
    public void begin() {
        if (watch == null) {
            told = false;
            open(clock.begun());
        }
    }

    /** Begins the watch, or ends it; one that is under way goes on. */
    public void subscribe(boolean on) {
        if (watch != null && !on) {
            watch.close();
            watch = null;
        }
        if (on && watch == null) {
            told = false;
            open(clock.pause(queue.now()));
        }
    }

    /**
     * Asks at another address from now on. The watch goes on there, from the version held: it is the same service, and what
     * it has to tell counts as told 4 s after the move. All balancers are told to move at once, so they spread a little.
     */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            subscribe(false);
            told = false;
            open(clock.moved());
        }
    }

    private void open(long pause) {
        Query next = new Query();
        watch = next;
        queue.after(pause, () -> follow(next));
    }

    private void follow(Query next) {
        if (watch == next) {
            next.ask();
        }
    }

    private void answered(Query from, ServerList list, long pause) {
        // The next call goes out before anything else: one that is late starts a new watch.
        generation = list.whole() ? list.generation() : Math.max(generation, list.generation());
        if (pause == 0) {
            from.ask();
        } else {
            queue.after(pause, () -> follow(from));
        }
        if (!told || list.whole() || !list.entries().isEmpty()) {
            told = true;
            listener.listed(list);
        }
    }

    /** Silence alone does not say that discovery is down: the watch is opened anew, and only if that fails it is told. */
    private void failed(boolean silent) {
        long pause = silent ? clock.silent() : -1;
        if (pause >= 0) {
            counters.count(Counter.DISCOVERY_REOPENED);
            open(pause);
            return;
        }
        watch = null;
        clock.failed(queue.now());
        listener.unavailable();
    }

    /** What an answer's body says: a list, or else why it is none. */
    private record Reading(ServerList list, String error) {
        static Reading of(Reply reply) {
            if (reply.status() != 200) {
                return new Reading(null, "no list");
            }
            try {
                return new Reading(ServerList.parse(new String(reply.body(), StandardCharsets.UTF_8)), null);
            } catch (SettingsException e) {
                return new Reading(null, e.getMessage());
            }
        }
    }

    /** Calls to discovery, one after another on a connection of their own, until one fails. */
    private final class Query {
        private Connection connection;
        private DecisionQueue.Alarm connecting;
        private DecisionQueue.Alarm alarm;
        private WatchClock.Call asked;
        private long askedAt;
        private boolean closed;
        private int calls;

        void ask() {
            counters.count(Counter.DISCOVERY_CALLS);
            int call = ++calls;
            boolean opening = connection == null || !connection.open();
            asked = clock.call(opening);
            askedAt = queue.now();
            alarm = queue.after(asked.limit(), () -> fail(call, "no answer", true));
            if (!opening) {
                call(call);
                return;
            }
            // Not left to the network alone: a connection that never comes up may not be told of either.
            connecting = queue.after(WatchClock.CONNECT, () -> fail(call, "no connection", false));
            connection = connector.open(address, WatchClock.CONNECT, c -> queue.post(() -> {
                if (call == calls && !closed) {
                    connecting.cancel();
                    call(call);
                }
            }), e -> queue.post(() -> fail(call, String.valueOf(e.getMessage()), false)), c -> { });
        }

        private void call(int call) {
            BasicHttpRequest request = new BasicHttpRequest("GET",
                PATH + "?since=" + generation + "&timeout_ms=" + asked.waitMs());
            request.addHeader("Host", address.getHostString() + ":" + address.getPort());
            connection.call(request, new byte[0], BODY_LIMIT, r -> read(call, r));
        }

        /** On an I/O thread, which carries sessions too. */
        private void read(int call, Reply reply) {
            if (reply.body().length <= LARGE) {
                queue.post(() -> replied(call, reply, Reading.of(reply)));
                return;
            }
            // Guards against sessions that wait while a long list is read: 10,000 entries took 0.3 s in a young process.
            Thread reader = new Thread(() -> {
                Reading reading = Reading.of(reply);
                queue.post(() -> replied(call, reply, reading));
            }, "list");
            reader.setDaemon(true);
            reader.start();
        }

        private void replied(int call, Reply reply, Reading reading) {
            if (closed || call != calls) {
                return;
            }
            if (reply.status() != 200) {
                fail(call, reply.status() == 0 ? "connection lost" : "status " + reply.status(), false);
                return;
            }
            ServerList list = reading.list();
            if (list == null) {
                counters.count(Counter.DISCOVERY_MALFORMED);
                fail(call, reading.error(), false);
            } else if (list.changesOlderThan(generation)) {
                // Guards against an old word on servers that newer words were heard on: none of it is taken.
                counters.count(Counter.DISCOVERY_OLDER);
                fail(call, "changes of generation " + list.generation() + " where " + generation + " is held", false);
            } else {
                alarm.cancel();
                counters.count(Counter.DISCOVERY_ANSWERS);
                if (!reply.reusable()) {
                    connection.close();
                }
                answered(this, list, clock.answered(list.entries().isEmpty(), asked, queue.now() - askedAt));
            }
        }

        private void fail(int call, String why, boolean silent) {
            if (closed || call != calls) {
                return;
            }
            counters.count(Counter.DISCOVERY_FAILURES);
            Log.warn("discovery-failed", why);
            close();
            failed(silent);
        }

        void close() {
            closed = true;
            if (alarm != null) {
                alarm.cancel();
            }
            if (connecting != null) {
                connecting.cancel();
            }
            if (connection != null) {
                connection.close();
            }
        }
    }
}
