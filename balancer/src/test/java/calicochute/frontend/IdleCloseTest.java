package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import calicochute.exchange.SessionListener;
import calicochute.lifecycle.Lifecycle;
import calicochute.listening.ConnectionAcceptor;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.settings.Bounds;
import calicochute.settings.Configuration;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.Test;

/** Closes idle connections while requests arrive on the same or on other connections. */
class IdleCloseTest {
    private static final InetSocketAddress LOOPBACK_ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final DecisionQueue QUEUE = new DecisionQueue() {
        @Override
        public long now() {
            return System.nanoTime() / 1000;
        }

        @Override
        public void post(Runnable task) {
            task.run();
        }

        @Override
        public Timer schedule(long delayMicros, Runnable task) {
            throw new AssertionError("no timer is expected");
        }
    };
    private static final SessionListener NO_SESSIONS = new SessionListener() {
        @Override
        public void sessionStarted(Exchange exchange) {
            throw new AssertionError("no session is expected");
        }

        @Override
        public void requestCompleted(Exchange exchange) {
            sessionStarted(exchange);
        }

        @Override
        public void clientGone(Exchange exchange) {
            sessionStarted(exchange);
        }

        @Override
        public void responseEnded(Exchange exchange, boolean complete) {
            sessionStarted(exchange);
        }
    };

    private static Frontend frontend(Counters counters) throws IOException {
        return new Frontend(
                new Configuration(
                        "n0", LOOPBACK_ANY_PORT, null, LOOPBACK_ANY_PORT, Bounds.of(64, false, 64), 0, "", null, null),
                null,
                QUEUE,
                NO_SESSIONS,
                counters,
                () -> true,
                Lifecycle::serving,
                () -> null);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "condition was not met in time");
            Thread.sleep(1);
        }
    }

    /**
     * Guards against closing a connection whose close as idle was requested just before a body began and is handled
     * just after: the body keeps its own timeout and the request is answered.
     */
    @Test
    void connectionReceivingABodyIsNotClosedAsIdle() throws Exception {
        Counters counters = new Counters();
        Frontend frontend = frontend(counters);
        CompletableFuture<ProtocolIOSession> session = new CompletableFuture<>();
        CompletableFuture<ClientConnection> connection = new CompletableFuture<>();
        ConnectionAcceptor acceptor = ConnectionAcceptor.bind(
                LOOPBACK_ANY_PORT,
                5,
                5,
                "test",
                (opened, attachment) -> {
                    ClientConnection created = ClientConnection.create(opened, frontend, e -> {});
                    session.complete(opened);
                    connection.complete(created);
                    return created;
                },
                e -> {},
                counters);
        InetSocketAddress address = acceptor.start();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(30_000);
            OutputStream out = client.getOutputStream();
            out.write("POST /counters HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[10_000]);
            await(() -> connection.join().receivingBody());
            // Does what closeIfIdle does after its own check, several times, so that at least one call happens after
            // the I/O thread has set its own timeout.
            for (int i = 0; i < 3; i++) {
                session.join().setSocketTimeout(Timeout.ONE_MILLISECOND);
                await(() -> !session.join().isOpen()
                        || session.join().getSocketTimeout().toMilliseconds() > 1);
            }
            out.write(new byte[10_000]);
            byte[] statusLine = client.getInputStream().readNBytes(15);
            assertEquals("HTTP/1.1 200 OK", new String(statusLine, StandardCharsets.US_ASCII));
            assertEquals(0, counters.get(Counter.CLIENTS_CLOSED_SLOW) + counters.get(Counter.CLIENTS_CLOSED_IDLE));
        } finally {
            acceptor.stopAccepting();
            CompletableFuture.runAsync(acceptor::close);
        }
    }

    private static void assertAnswered(Socket client) throws IOException {
        assertEquals("HTTP/1.1 200 OK", new String(client.getInputStream().readNBytes(15), StandardCharsets.US_ASCII));
    }

    /**
     * A descriptor shortage closes idle connections only: none that is receiving a request, and no new one, although
     * the limit was reduced.
     */
    @Test
    void descriptorShortageClosesOnlyIdleConnections() throws Exception {
        Counters counters = new Counters();
        Frontend frontend = frontend(counters);
        List<ClientConnection> created = new CopyOnWriteArrayList<>();
        List<Socket> clients = new ArrayList<>();
        ConnectionAcceptor acceptor = ConnectionAcceptor.bind(
                LOOPBACK_ANY_PORT,
                50,
                50,
                "test",
                (opened, attachment) -> {
                    ClientConnection connection = ClientConnection.create(opened, frontend, e -> {});
                    created.add(connection);
                    return connection;
                },
                e -> {},
                counters);
        InetSocketAddress address = acceptor.start();
        try {
            for (int i = 0; i < 12; i++) {
                Socket client = new Socket(address.getAddress(), address.getPort());
                client.setSoTimeout(30_000);
                clients.add(client);
                client.getOutputStream()
                        .write("POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                client.getOutputStream().write(new byte[10_000]);
            }
            await(() -> created.size() == clients.size() && created.stream().allMatch(ClientConnection::receivingBody));
            assertFalse(frontend.freeDescriptors());
            try (Socket newcomer = new Socket(address.getAddress(), address.getPort())) {
                newcomer.setSoTimeout(30_000);
                newcomer.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertAnswered(newcomer);
            }
            for (Socket client : clients) {
                client.getOutputStream().write(new byte[10_000]);
                assertAnswered(client);
            }
            assertEquals(0, counters.get(Counter.CLIENTS_CLOSED_FOR_ROOM));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            acceptor.stopAccepting();
            CompletableFuture.runAsync(acceptor::close);
        }
    }
}
