package calicochute.lab.emulator;

import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.RequestClass;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.socket.Link;
import calicochute.lab.world.World;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The callers of one balancer: sends requests, one at a time on a connection, keeps connections, and hears the answers.
 * Clients use one for each balancer of the first tier, a server that calls on the one of its own balancer.
 */
final class Caller implements Link.Owner {
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
    private final Deque<Link> idle = new ArrayDeque<>();

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
        private Link link;
        private boolean taken;
        private boolean reused;
        private boolean resent;
        private boolean done;
        private long writtenAt;
        private World.Alarm overdue;

        Call(Request request, String key, boolean again, long patience, Consumer<Result> end) {
            this.request = request;
            this.key = key;
            this.again = again;
            this.end = end;
            deadline = site.world.now() + patience;
        }

        void start() {
            site.awaited++;
            overdue = site.world.at(deadline + ANSWER_SLACK, this::overdue);
            site.world.after(delay, () -> begin(true));
        }

        private void begin(boolean mayReuse) {
            if (done) {
                return;
            }
            while (mayReuse && !idle.isEmpty()) {
                Link kept = idle.pollLast();
                if (kept.open()) {
                    reused = true;
                    write(kept);
                    return;
                }
            }
            reused = false;
            site.sockets.connect(
                    address,
                    Math.min(CONNECT_TIMEOUT, deadline - site.world.now() + ANSWER_SLACK),
                    Caller.this,
                    this::opened,
                    () -> finish(new Result(End.UNREACHABLE, 0, 0, "")));
        }

        private void opened(Link fresh) {
            if (done) {
                fresh.close();
            } else {
                // A handshake's round trip before the first request.
                site.world.after(2 * delay, () -> write(fresh));
            }
        }

        private void write(Link on) {
            if (done) {
                on.close();
                return;
            }
            link = on;
            link.mark = this;
            writtenAt = site.world.now();
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
                site.referee.taken(writtenAt, request.id(), balancer.name(), site.rule(request.root()), deadline);
            }
            if (!link.open()) {
                closed();
                return;
            }
            link.write(HttpMessage.bytes(
                    (get ? "GET" : "POST") + " /api?n=" + request.root().arrival.number() + " HTTP/1.1",
                    fields,
                    get ? new byte[0] : BODY));
        }

        void answered(HttpMessage answer) {
            if (done) {
                return;
            }
            site.referee.answered(answer.lastByteAt(), request.id(), answer.status(), answer.text());
            String retryAfter = answer.field("retry-after");
            long pause = 0;
            if (retryAfter != null && retryAfter.matches("\\d{1,6}(\\.\\d{1,6})?")) {
                pause = Math.round(Double.parseDouble(retryAfter) * 1e6);
            }
            Result result = new Result(End.ANSWERED, answer.status(), pause, answer.text());
            settled();
            site.world.after(delay, () -> end.accept(result));
        }

        void closed() {
            if (done) {
                return;
            }
            if (reused && !resent && site.world.now() - writtenAt < CROSSING) {
                resent = true;
                begin(false);
                return;
            }
            site.referee.unanswered(site.world.now(), request.id(), "the balancer ended the connection");
            finish(new Result(End.BROKEN, 0, 0, ""));
        }

        private void overdue() {
            if (done) {
                return;
            }
            if (taken) {
                site.referee.unanswered(site.world.now(), request.id(), "silence");
            }
            if (link != null) {
                link.mark = request.id();
                link.close();
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
    public void message(Link link, HttpMessage answer) {
        if (link.mark instanceof Call call) {
            link.mark = call.request.id();
            call.answered(answer);
            if ("close".equalsIgnoreCase(answer.field("connection")) || idle.size() >= mostIdle) {
                link.close();
            } else {
                idle.addLast(link);
            }
        } else if (link.mark instanceof String id) {
            site.referee.answeredAgain(answer.firstByteAt(), id);
        }
    }

    @Override
    public void unreadable(Link link, String why) {
        if (link.mark instanceof Call call) {
            link.close();
            call.reused = false;
            call.closed();
        } else if (link.mark instanceof String id) {
            site.referee.answeredAgain(site.world.now(), id);
        }
    }

    @Override
    public void closed(Link link, boolean reset, boolean midway) {
        if (link.mark instanceof Call call) {
            link.mark = call.request.id();
            call.closed();
        } else {
            idle.remove(link);
        }
    }
}
