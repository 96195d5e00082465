package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.exchange.Message;
import calicochute.exchange.Response;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.settings.Bounds;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** What tests of dispatches share in which the test itself is the decision thread, on real connections. */
abstract class ByHand {
    /**
     * A clock that goes on by a step at each look, as on a machine short of processor time; tasks are run by the test.
     */
    static final class HandQueue implements DecisionQueue {
        static final long STEP = 3_000;
        /** 0 for a clock that stands still unless the test moves it. */
        long step = STEP;

        final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
        final List<Long> dueAt = new ArrayList<>();
        final List<Runnable> alarms = new ArrayList<>();
        long now = 1_000_000;

        @Override
        public long now() {
            return now += step;
        }

        @Override
        public void post(Runnable task) {
            posted.add(task);
        }

        @Override
        public Timer schedule(long micros, Runnable task) {
            dueAt.add(now + micros);
            alarms.add(task);
            return () -> {};
        }
    }

    /** For how long a dispatch may be sent. */
    static final long WINDOW = 1_000_000;

    final HandQueue queue = new HandQueue();
    final List<Outcome> outcomes = new ArrayList<>();

    Exchange exchange;

    Dispatch dispatch() {
        return dispatch("/");
    }

    Dispatch dispatch(String target) {
        exchange = new Exchange(
                1,
                "1",
                new Message("GET", target, List.of(), new Body.Buffered(new byte[0])),
                0,
                -1,
                new Limits(true, false, false, false, false, 3, 10, 1, 500_000, 0),
                false,
                queue.now(),
                900_000,
                a -> {});
        return exchange.addDispatch("s", queue.now(), queue.now + WINDOW);
    }

    final Counters counters = new Counters();

    BackendServers servers(Connector connector, int port) {
        return servers(connector, port, 500_000);
    }

    BackendServers servers(Connector connector, int port, long connectTimeout) {
        BackendServers servers = new BackendServers(
                connector,
                queue,
                counters,
                connectTimeout,
                30_000_000,
                Bounds.of(64, false, 64),
                new DispatchListener() {
                    @Override
                    public void dispatchBegun(Dispatch dispatch, Response answer) {}

                    @Override
                    public void dispatchEnded(Dispatch dispatch, Outcome outcome, Response answer) {
                        outcomes.add(outcome);
                    }

                    @Override
                    public void dispatchWritten() {}
                });
        servers.address("s", new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return servers;
    }

    static boolean endedUnused(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    /** Connections to it don't come up until those before them are accepted. */
    static List<Socket> fill(ServerSocket listener) throws IOException {
        return List.of(
                new Socket(listener.getInetAddress(), listener.getLocalPort()),
                new Socket(listener.getInetAddress(), listener.getLocalPort()));
    }

    void runPosted() throws InterruptedException {
        queue.posted.poll(30, TimeUnit.SECONDS).run();
    }

    /**
     * Sends one more, over this connection or, if null, over a new one, which is returned; it is answered and the
     * connection is free again.
     */
    Socket serve(BackendServers servers, ServerSocket listener, Socket kept) throws Exception {
        int before = outcomes.size();
        servers.send(dispatch(), 60_000_000);
        Socket socket = kept;
        if (kept == null) {
            socket = listener.accept();
            socket.setSoTimeout(30_000);
            int sent = queue.alarms.size();
            while (queue.alarms.size() == sent) {
                runPosted();
            }
            queue.alarms.get(sent).run();
        }
        answer(socket, before);
        return socket;
    }

    /** Reads a request up to the empty line behind its head. */
    static void readRequest(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals("GET / HTTP/1.1", in.readLine());
        assertTrue(in.readLine().startsWith("X-Remaining-Ms: "));
        assertEquals("", in.readLine());
    }

    /** Answers what has been sent there, as the outcome of that number. */
    void answer(Socket socket, int before) throws Exception {
        readRequest(socket);
        socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        while (outcomes.size() == before) {
            runPosted();
        }
        assertEquals(Outcome.OK, outcomes.get(before));
    }

    /** The alarm set since then that is due in so long, on a clock that stands still. */
    Runnable alarmIn(long micros, int since) {
        for (int i = since; i < queue.alarms.size(); i++) {
            if (queue.dueAt.get(i) == queue.now + micros) {
                return queue.alarms.get(i);
            }
        }
        throw new AssertionError("none is due in " + micros + " at " + queue.now + ": "
                + queue.dueAt.subList(since, queue.dueAt.size()));
    }

    void endedBy(Socket socket, int early) throws Exception {
        socket.close();
        while (counters.get(Counter.CONNECTIONS_ENDED_EARLY) < early) {
            runPosted();
        }
    }
}
