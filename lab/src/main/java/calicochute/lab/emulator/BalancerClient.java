package calicochute.lab.emulator;

import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.RequestClass;
import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.world.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * An HTTP client of one balancer with a pool of connections, each of which carries one request at a time. Clients use
 * one for each balancer of the first tier, a server that calls the next tier uses one for its own balancer.
 */
final class BalancerClient implements Connection.Listener {
    /** How long after its deadline a response is still waited for, in microseconds. */
    private static final long RESPONSE_GRACE_MICROS = 50_000;
    /**
     * A reused connection that closes within this time of the request, in microseconds, is taken to have been closed
     * before the balancer read the request; the request is then sent once more on a new connection.
     */
    private static final long CLOSE_RACE_MICROS = 50_000;

    private static final long CONNECT_TIMEOUT_MICROS = 3_000_000;
    private static final byte[] REQUEST_BODY = "scan".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private final EmulationContext context;
    private final BalancerSpec balancer;
    private final InetSocketAddress address;
    private final long oneWayDelayMicros;
    private final int maxIdleConnections;
    private final Deque<Connection> idleConnections = new ArrayDeque<>();

    /** How a call ended. */
    enum End {
        ANSWERED,
        /** No connection was established. */
        UNREACHABLE,
        /** The connection ended without a valid response. */
        CONNECTION_LOST,
        /** There was no response in time. */
        TIMED_OUT
    }

    /** The result of a call; {@code retryAfterMicros} is 0 if the response has no valid Retry-After. */
    record Result(End end, int status, long retryAfterMicros, String body) {
        boolean served() {
            return end == End.ANSWERED && status == 200;
        }

        boolean denied() {
            return end == End.ANSWERED && (status == 429 || status == 503);
        }
    }

    BalancerClient(
            EmulationContext context,
            BalancerSpec balancer,
            InetSocketAddress address,
            long oneWayDelayMicros,
            int maxIdleConnections) {
        this.context = context;
        this.balancer = balancer;
        this.address = address;
        this.oneWayDelayMicros = oneWayDelayMicros;
        this.maxIdleConnections = maxIdleConnections;
    }

    BalancerSpec balancer() {
        return balancer;
    }

    /**
     * Sends a request and calls {@code onEnd} once with its result.
     *
     * @param key the idempotency key; null if the class is not keyed
     * @param markAsRetry whether the request is marked as a retry of the client
     * @param timeoutMicros how long the caller waits for the response
     */
    void send(Request request, String key, boolean markAsRetry, long timeoutMicros, Consumer<Result> onEnd) {
        new Call(request, key, markAsRetry, timeoutMicros, onEnd).start();
    }

    private final class Call {
        private final Request request;
        private final String key;
        private final boolean markAsRetry;
        private final Consumer<Result> onEnd;
        private final long deadline;
        private Connection connection;
        private boolean sent;
        private boolean reused;
        private boolean retriedAfterClose;
        private boolean done;
        private long writtenAt;
        private EventLoop.Timer timeoutTimer;

        Call(Request request, String key, boolean markAsRetry, long timeoutMicros, Consumer<Result> onEnd) {
            this.request = request;
            this.key = key;
            this.markAsRetry = markAsRetry;
            this.onEnd = onEnd;
            deadline = context.eventLoop.now() + timeoutMicros;
        }

        void start() {
            context.pendingCalls++;
            timeoutTimer = context.eventLoop.scheduleAt(deadline + RESPONSE_GRACE_MICROS, this::timedOut);
            context.eventLoop.scheduleAfter(oneWayDelayMicros, () -> acquireConnection(true));
        }

        private void acquireConnection(boolean mayReuse) {
            if (done) {
                return;
            }
            while (mayReuse && !idleConnections.isEmpty()) {
                Connection candidate = idleConnections.pollLast();
                if (candidate.isOpen()) {
                    reused = true;
                    sendOn(candidate);
                    return;
                }
            }
            reused = false;
            context.sockets.connect(
                    address,
                    Math.min(CONNECT_TIMEOUT_MICROS, deadline - context.eventLoop.now() + RESPONSE_GRACE_MICROS),
                    BalancerClient.this,
                    this::connected,
                    () -> finish(new Result(End.UNREACHABLE, 0, 0, "")));
        }

        private void connected(Connection newConnection) {
            if (done) {
                newConnection.close();
            } else {
                // The TCP handshake takes one round trip before the first request.
                context.eventLoop.scheduleAfter(2 * oneWayDelayMicros, () -> sendOn(newConnection));
            }
        }

        private void sendOn(Connection chosen) {
            if (done) {
                chosen.close();
                return;
            }
            connection = chosen;
            connection.attachment = this;
            writtenAt = context.eventLoop.now();
            RequestClass requestClass = context.requestClass(request.clientRequest());
            boolean get = requestClass.effect() == Effect.REPEATABLE;
            String fields = "Host: service.internal\r\nX-Txn: " + request.id() + "\r\nX-Lane: " + requestClass.name()
                    + "\r\nX-Org: "
                    + context.scenario
                            .tenants()
                            .get(request.clientRequest().arrival.tenant())
                            .name()
                    + "\r\nX-Remaining-Ms: " + Math.max(0, (deadline - writtenAt) / 1000) + "\r\n"
                    + (markAsRetry ? "X-Resent: 1\r\n" : "") + (key == null ? "" : "Idempotency-Key: " + key + "\r\n");
            if (!sent) {
                sent = true;
                context.ruleChecker.sessionSent(
                        writtenAt, request.id(), balancer.name(), context.classRule(request.clientRequest()), deadline);
            }
            if (!connection.isOpen()) {
                connectionLost();
                return;
            }
            connection.write(HttpMessage.encode(
                    (get ? "GET" : "POST") + " /api?n="
                            + request.clientRequest().arrival.number() + " HTTP/1.1",
                    fields,
                    get ? new byte[0] : REQUEST_BODY));
        }

        void responseReceived(HttpMessage response) {
            if (done) {
                return;
            }
            context.ruleChecker.responseReceived(
                    response.lastByteAt(), request.id(), response.status(), response.text());
            String retryAfterField = response.field("retry-after");
            long retryAfterMicros = 0;
            if (retryAfterField != null && retryAfterField.matches("\\d{1,6}(\\.\\d{1,6})?")) {
                retryAfterMicros = Math.round(Double.parseDouble(retryAfterField) * 1e6);
            }
            Result result = new Result(End.ANSWERED, response.status(), retryAfterMicros, response.text());
            complete();
            context.eventLoop.scheduleAfter(oneWayDelayMicros, () -> onEnd.accept(result));
        }

        void connectionLost() {
            if (done) {
                return;
            }
            if (reused && !retriedAfterClose && context.eventLoop.now() - writtenAt < CLOSE_RACE_MICROS) {
                retriedAfterClose = true;
                acquireConnection(false);
                return;
            }
            context.ruleChecker.sessionUnanswered(
                    context.eventLoop.now(), request.id(), "the balancer ended the connection");
            finish(new Result(End.CONNECTION_LOST, 0, 0, ""));
        }

        private void timedOut() {
            if (done) {
                return;
            }
            if (sent) {
                context.ruleChecker.sessionUnanswered(context.eventLoop.now(), request.id(), "silence");
            }
            if (connection != null) {
                connection.attachment = request.id();
                connection.close();
            }
            finish(new Result(sent ? End.TIMED_OUT : End.UNREACHABLE, 0, 0, ""));
        }

        private void finish(Result result) {
            if (!done) {
                complete();
                onEnd.accept(result);
            }
        }

        private void complete() {
            done = true;
            context.pendingCalls--;
            timeoutTimer.cancel();
        }
    }

    @Override
    public void message(Connection connection, HttpMessage response) {
        if (connection.attachment instanceof Call call) {
            connection.attachment = call.request.id();
            call.responseReceived(response);
            if ("close".equalsIgnoreCase(response.field("connection"))
                    || idleConnections.size() >= maxIdleConnections) {
                connection.close();
            } else {
                idleConnections.addLast(connection);
            }
        } else if (connection.attachment instanceof String id) {
            context.ruleChecker.extraBytesReceived(response.firstByteAt(), id);
        }
    }

    @Override
    public void malformed(Connection connection, String reason) {
        if (connection.attachment instanceof Call call) {
            connection.close();
            call.reused = false;
            call.connectionLost();
        } else if (connection.attachment instanceof String id) {
            context.ruleChecker.extraBytesReceived(context.eventLoop.now(), id);
        }
    }

    @Override
    public void closed(Connection connection, boolean reset, boolean midMessage) {
        if (connection.attachment instanceof Call call) {
            connection.attachment = call.request.id();
            call.connectionLost();
        } else {
            idleConnections.remove(connection);
        }
    }
}
