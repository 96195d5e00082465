package calicochute.discovery;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.connection.Reply;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Keeps the watch on the list of backend servers; discovery sends all of it where changes would not do. All on the decision thread. */
public final class Discovery {
    private static final String PATH = "/v1/endpoints";
    /** How long a watch waits; short enough that a silent network is noticed soon. */
    private static final long WAIT_MS = 10_000;
    private static final long PATIENCE = 2_000_000;
    private static final long LEAST_PAUSE = 100_000;
    private static final int BODY_LIMIT = 1 << 23;
    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private InetSocketAddress address;
    private final ListListener listener;
    private Query watch;
    private long generation;
    private long failedAt;
    private boolean told;

    public Discovery(Connector connector, DecisionQueue queue, Counters counters, InetSocketAddress address,
                     ListListener listener) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
    }

    /** Where a watch goes on from. */
    public void startFrom(long known) {
        generation = known;
    }

    /** Begins the watch, or ends it; one that is under way goes on. */
    public void subscribe(boolean on) {
        if (watch != null && !on) {
            watch.close();
            watch = null;
        }
        if (on && watch == null) {
            told = false;
            Query next = new Query(this::watched);
            watch = next;
            // Guards against a storm of calls while discovery is down: it is one small service for all balancers.
            queue.after(Math.max(0, failedAt + LEAST_PAUSE - queue.now()), () -> {
                if (watch == next) {
                    follow();
                }
            });
        }
    }

    /**
     * Asks at another address from now on. The watch goes on there at once, from the version held: it is the same
     * service, and what it has to tell counts as told soon after the move.
     */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            failedAt = 0;
            subscribe(false);
            subscribe(true);
        }
    }

    private void follow() {
        watch.ask(PATH + "?since=" + generation + "&timeout_ms=" + WAIT_MS, WAIT_MS * 1000 + PATIENCE);
    }

    private void watched(ServerList list) {
        if (list == null) {
            watch = null;
            failedAt = queue.now();
            listener.unavailable();
            return;
        }
        // The next call goes out before anything else: one that is late starts a new watch.
        generation = list.generation();
        follow();
        if (!told || list.whole() || !list.entries().isEmpty()) {
            told = true;
            listener.listed(list);
        }
    }

    /** Calls to discovery, one after another on a connection of their own; {@code null} tells that one failed. */
    private final class Query {
        private final Consumer<ServerList> heard;
        private Connection connection;
        private DecisionQueue.Alarm alarm;
        private boolean closed;
        private int calls;

        Query(Consumer<ServerList> heard) {
            this.heard = heard;
        }

        void ask(String target, long patience) {
            counters.count(Counter.DISCOVERY_CALLS);
            int call = ++calls;
            alarm = queue.after(patience, () -> fail(call, "no answer"));
            if (connection != null && connection.open()) {
                call(target, call);
                return;
            }
            connection = connector.open(address, PATIENCE, c -> queue.post(() -> {
                if (call == calls && !closed) {
                    call(target, call);
                }
            }), e -> queue.post(() -> fail(call, String.valueOf(e.getMessage()))), c -> { });
        }

        private void call(String target, int call) {
            BasicHttpRequest request = new BasicHttpRequest("GET", target);
            request.addHeader("Host", address.getHostString() + ":" + address.getPort());
            connection.call(request, new byte[0], BODY_LIMIT, r -> queue.post(() -> answered(call, r)));
        }

        private void answered(int call, Reply reply) {
            if (closed || call != calls) {
                return;
            }
            if (reply.status() != 200) {
                fail(call, reply.status() == 0 ? "connection lost" : "status " + reply.status());
                return;
            }
            try {
                ServerList list = ServerList.parse(new String(reply.body(), StandardCharsets.UTF_8));
                alarm.cancel();
                counters.count(Counter.DISCOVERY_ANSWERS);
                if (!reply.reusable()) {
                    connection.close();
                }
                heard.accept(list);
            } catch (SettingsException e) {
                counters.count(Counter.DISCOVERY_MALFORMED);
                fail(call, e.getMessage());
            }
        }

        private void fail(int call, String why) {
            if (closed || call != calls) {
                return;
            }
            counters.count(Counter.DISCOVERY_FAILURES);
            Log.warn("discovery-failed", why);
            close();
            heard.accept(null);
        }

        void close() {
            closed = true;
            if (alarm != null) {
                alarm.cancel();
            }
            if (connection != null) {
                connection.close();
            }
        }
    }
}
