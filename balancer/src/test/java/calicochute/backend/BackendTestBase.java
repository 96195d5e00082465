package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Body;
import calicochute.exchange.ByteBudget;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.exchange.Message;
import calicochute.exchange.RequestProgress;
import calicochute.exchange.Response;
import calicochute.exchange.SessionClient;
import calicochute.exchange.SessionMemory;
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

/** Base of the tests of dispatches in which the test itself is the decision thread, on real connections. */
abstract class BackendTestBase {
    /**
     * A queue whose clock advances by a step at each reading, as on a machine short of processor time; the test runs
     * the tasks.
     */
    static final class ManualDecisionQueue implements DecisionQueue {
        static final long STEP_MICROS = 3_000;
        /** 0 for a clock that only the test moves. */
        long stepMicros = STEP_MICROS;

        final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
        final List<Long> dueTimes = new ArrayList<>();
        final List<Runnable> timerTasks = new ArrayList<>();
        long now = 1_000_000;

        @Override
        public long now() {
            return now += stepMicros;
        }

        @Override
        public void post(Runnable task) {
            posted.add(task);
        }

        @Override
        public Timer schedule(long micros, Runnable task) {
            dueTimes.add(now + micros);
            timerTasks.add(task);
            return () -> {};
        }
    }

    /** How long a dispatch may be sent, in microseconds. */
    static final long SEND_WINDOW_MICROS = 1_000_000;

    final ManualDecisionQueue queue = new ManualDecisionQueue();
    final List<Outcome> outcomes = new ArrayList<>();

    Exchange exchange;

    Dispatch dispatch() {
        return dispatch("/");
    }

    Dispatch dispatch(String target) {
        RequestProgress progress = new RequestProgress();
        progress.complete(queue.now());
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
                progress,
                new SessionMemory(new ByteBudget(1 << 20)),
                new SilentClient());
        return exchange.addDispatch("s", queue.now(), queue.now + SEND_WINDOW_MICROS);
    }

    /** A client that takes its response and sends no more. */
    private static final class SilentClient implements SessionClient {
        @Override
        public void send(Response response) {}

        @Override
        public void observeUnread(long nowMicros) {}
    }

    final Counters counters = new Counters();

    BackendServers servers(Connector connector, int port) {
        return servers(connector, port, 500_000);
    }

    BackendServers servers(Connector connector, int port, long connectTimeoutMicros) {
        BackendServers servers = new BackendServers(
                connector,
                queue,
                counters,
                connectTimeoutMicros,
                30_000_000,
                Bounds.of(64, false, 64),
                new DispatchListener() {
                    @Override
                    public void dispatchResponseStarted(Dispatch dispatch, Response response) {}

                    @Override
                    public void dispatchEnded(Dispatch dispatch, Outcome outcome, Response response) {
                        outcomes.add(outcome);
                    }

                    @Override
                    public void dispatchWritten() {}
                });
        servers.setAddress("s", new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return servers;
    }

    static boolean closedWithoutData(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    /** Fills the accept backlog: further connections are not established until these are accepted. */
    static List<Socket> fillBacklog(ServerSocket listener) throws IOException {
        return List.of(
                new Socket(listener.getInetAddress(), listener.getLocalPort()),
                new Socket(listener.getInetAddress(), listener.getLocalPort()));
    }

    void runPosted() throws InterruptedException {
        queue.posted.poll(30, TimeUnit.SECONDS).run();
    }

    /**
     * Sends one more dispatch over the existing connection, or over a new one if that is null; the dispatch is answered
     * and its connection, which is returned, is idle again.
     */
    Socket serve(BackendServers servers, ServerSocket listener, Socket existing) throws Exception {
        int outcomeIndex = outcomes.size();
        servers.send(dispatch(), 60_000_000);
        Socket socket = existing;
        if (existing == null) {
            socket = listener.accept();
            socket.setSoTimeout(30_000);
            int firstTimer = queue.timerTasks.size();
            while (queue.timerTasks.size() == firstTimer) {
                runPosted();
            }
            queue.timerTasks.get(firstTimer).run();
        }
        respond(socket, outcomeIndex);
        return socket;
    }

    /** Reads a request up to the end of its head. */
    static void readRequest(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals("GET / HTTP/1.1", reader.readLine());
        assertTrue(reader.readLine().startsWith("X-Remaining-Ms: "));
        assertEquals("", reader.readLine());
    }

    /** Responds to the request sent on the socket and awaits its outcome, which has this index. */
    void respond(Socket socket, int outcomeIndex) throws Exception {
        readRequest(socket);
        socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        while (outcomes.size() == outcomeIndex) {
            runPosted();
        }
        assertEquals(Outcome.OK, outcomes.get(outcomeIndex));
    }

    /**
     * The timer task scheduled since {@code firstTimer} that is due in this many microseconds, on a clock that stands
     * still.
     */
    Runnable timerDueIn(long micros, int firstTimer) {
        for (int i = firstTimer; i < queue.timerTasks.size(); i++) {
            if (queue.dueTimes.get(i) == queue.now + micros) {
                return queue.timerTasks.get(i);
            }
        }
        throw new AssertionError("no timer is due in " + micros + " us at " + queue.now + ": "
                + queue.dueTimes.subList(firstTimer, queue.dueTimes.size()));
    }

    void closeAndAwaitEvent(Socket socket, int expectedCloses) throws Exception {
        socket.close();
        while (counters.get(Counter.CONNECTIONS_ENDED_EARLY) < expectedCloses) {
            runPosted();
        }
    }
}
