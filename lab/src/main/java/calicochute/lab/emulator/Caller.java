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
 * The callers of one balancer: sends requests, one at a time on a connection, keeps connections, and hears the answers.
 * Clients use one for each balancer of the first tier, a server that calls on the one of its own balancer.
 */
final class Caller implements Connection.Listener {
    /** How long after its time an answer still counts, and the connection is kept for it. */
    private static final long ANSWER_SLACK = 50_000;
    /** A balancer's close that crosses a request is seen within this time; then it is sent once more. */
    private static final long CROSSING = 50_000;

    private static final long CONNECT_TIMEOUT = 3_000_000;
    private static final byte[] BODY = "scan".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private final Site site;
    private final BalancerSpec balancer;
    private final InetSocketAddress address;
    private final long delay;
    private final int mostIdle;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /** How a call ended: with an answer, without a connection, with a broken one, or with its time. */
    enum End {
        ANSWERED,
        UNREACHABLE,
        BROKEN,
        SILENT
    }

    /** {@code retryAfter} in microseconds, 0 where none is said. */
    record Result(End end, int status, long retryAfter, String body) {
        boolean served() {
            return end == End.ANSWERED && status == 200;
        }

        boolean denied() {
            return end == End.ANSWERED && (status == 429 || status == 503);
        }
    }

    Caller(Site site, BalancerSpec balancer, InetSocketAddress address, long delay, int mostIdle) {
        this.site = site;
        this.balancer = balancer;
        this.address = address;
        this.delay = delay;
        this.mostIdle = mostIdle;
    }

    BalancerSpec balancer() {
        return balancer;
    }

    /** Asks; {@code end} hears once how it ended. {@code key} for keyed classes, {@code patience} in microseconds. */
    void ask(Request request, String key, boolean again, long patience, Consumer<Result> end) {
        new Call(request, key, again, patience, end).start();
    }

    private final class Call {
        private final Request request;
        private final String key;
        private final boolean again;
        private final Consumer<Result> end;
        private final long deadline;
        private Connection connection;
        private boolean taken;
        private boolean reused;
        private boolean resent;
        private boolean done;
        private long writtenAt;
        private EventLoop.Timer overdue;

        Call(Request request, String key, boolean again, long patience, Consumer<Result> end) {
            this.request = request;
            this.key = key;
            this.again = again;
            this.end = end;
            deadline = site.eventLoop.now() + patience;
        }

        void start() {
            site.awaited++;
            overdue = site.eventLoop.scheduleAt(deadline + ANSWER_SLACK, this::overdue);
            site.eventLoop.scheduleAfter(delay, () -> begin(true));
        }

        private void begin(boolean mayReuse) {
            if (done) {
                return;
            }
            while (mayReuse && !idle.isEmpty()) {
                Connection kept = idle.pollLast();
                if (kept.isOpen()) {
                    reused = true;
                    write(kept);
                    return;
                }
            }
            reused = false;
            site.sockets.connect(
                    address,
                    Math.min(CONNECT_TIMEOUT, deadline - site.eventLoop.now() + ANSWER_SLACK),
                    Caller.this,
                    this::opened,
                    () -> finish(new Result(End.UNREACHABLE, 0, 0, "")));
        }

        private void opened(Connection fresh) {
            if (done) {
                fresh.close();
            } else {
                // A handshake's round trip before the first request.
                site.eventLoop.scheduleAfter(2 * delay, () -> write(fresh));
            }
        }

        private void write(Connection on) {
            if (done) {
                on.close();
                return;
            }
            connection = on;
            connection.attachment = this;
            writtenAt = site.eventLoop.now();
            RequestClass c = site.classOf(request.root());
            boolean get = c.effect() == Effect.REPEATABLE;
            String fields = "Host: service.internal\r\nX-Txn: " + request.id() + "\r\nX-Lane: " + c.name()
                    + "\r\nX-Org: "
                    + site.scenario
                            .tenants()
                            .get(request.root().arrival.tenant())
                            .name()
                    + "\r\nX-Remaining-Ms: " + Math.max(0, (deadline - writtenAt) / 1000) + "\r\n"
                    + (again ? "X-Resent: 1\r\n" : "") + (key == null ? "" : "Idempotency-Key: " + key + "\r\n");
            if (!taken) {
                taken = true;
                site.ruleChecker.sessionSent(
                        writtenAt, request.id(), balancer.name(), site.rule(request.root()), deadline);
            }
            if (!connection.isOpen()) {
                closed();
                return;
            }
            connection.write(HttpMessage.encode(
                    (get ? "GET" : "POST") + " /api?n=" + request.root().arrival.number() + " HTTP/1.1",
                    fields,
                    get ? new byte[0] : BODY));
        }

        void answered(HttpMessage answer) {
            if (done) {
                return;
            }
            site.ruleChecker.responseReceived(answer.lastByteAt(), request.id(), answer.status(), answer.text());
            String retryAfter = answer.field("retry-after");
            long pause = 0;
            if (retryAfter != null && retryAfter.matches("\\d{1,6}(\\.\\d{1,6})?")) {
                pause = Math.round(Double.parseDouble(retryAfter) * 1e6);
            }
            Result result = new Result(End.ANSWERED, answer.status(), pause, answer.text());
            settled();
            site.eventLoop.scheduleAfter(delay, () -> end.accept(result));
        }

        void closed() {
            if (done) {
                return;
            }
            if (reused && !resent && site.eventLoop.now() - writtenAt < CROSSING) {
                resent = true;
                begin(false);
                return;
            }
            site.ruleChecker.sessionUnanswered(site.eventLoop.now(), request.id(), "the balancer ended the connection");
            finish(new Result(End.BROKEN, 0, 0, ""));
        }

        private void overdue() {
            if (done) {
                return;
            }
            if (taken) {
                site.ruleChecker.sessionUnanswered(site.eventLoop.now(), request.id(), "silence");
            }
            if (connection != null) {
                connection.attachment = request.id();
                connection.close();
            }
            finish(new Result(taken ? End.SILENT : End.UNREACHABLE, 0, 0, ""));
        }

        private void finish(Result result) {
            if (!done) {
                settled();
                end.accept(result);
            }
        }

        private void settled() {
            done = true;
            site.awaited--;
            overdue.cancel();
        }
    }

    @Override
    public void message(Connection connection, HttpMessage answer) {
        if (connection.attachment instanceof Call call) {
            connection.attachment = call.request.id();
            call.answered(answer);
            if ("close".equalsIgnoreCase(answer.field("connection")) || idle.size() >= mostIdle) {
                connection.close();
            } else {
                idle.addLast(connection);
            }
        } else if (connection.attachment instanceof String id) {
            site.ruleChecker.extraBytesReceived(answer.firstByteAt(), id);
        }
    }

    @Override
    public void malformed(Connection connection, String reason) {
        if (connection.attachment instanceof Call call) {
            connection.close();
            call.reused = false;
            call.closed();
        } else if (connection.attachment instanceof String id) {
            site.ruleChecker.extraBytesReceived(site.eventLoop.now(), id);
        }
    }

    @Override
    public void closed(Connection connection, boolean reset, boolean midMessage) {
        if (connection.attachment instanceof Call call) {
            connection.attachment = call.request.id();
            call.closed();
        } else {
            idle.remove(connection);
        }
    }
}
