package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import calicochute.exchange.SessionListener;
import calicochute.listening.ConnectionAcceptor;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.presence.Presence;
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

/** The end of idle connections that is asked for while requests come on them, or on others. */
class IdleEndTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
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
        public Timer schedule(long micros, Runnable task) {
            throw new AssertionError("no alarm is needed here");
        }
    };
    private static final SessionListener NONE = new SessionListener() {
        @Override
        public void sessionStarted(Exchange exchange) {
            throw new AssertionError("no session is sent here");
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
        public void responseEnded(Exchange exchange, boolean whole) {
            sessionStarted(exchange);
        }
    };

    private static Frontend frontend(Counters counters) throws IOException {
        return new Frontend(
                new Configuration("n0", ANY, null, ANY, Bounds.of(64, false, 64), 0, "", null, null),
                null,
                QUEUE,
                NONE,
                counters,
                () -> true,
                Presence::serving,
                () -> null);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long latest = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < latest, "waited in vain");
            Thread.sleep(1);
        }
    }

    /**
     * Asked for just before the body began, heard just behind it: the body keeps its own time, and its request is
     * answered.
     */
    @Test
    void aBodyThatHasJustBegunIsNotEnded() throws Exception {
        Counters counters = new Counters();
        Frontend frontend = frontend(counters);
        CompletableFuture<ProtocolIOSession> session = new CompletableFuture<>();
        CompletableFuture<ClientConnection> connection = new CompletableFuture<>();
        ConnectionAcceptor listening = ConnectionAcceptor.bind(
                ANY,
                5,
                5,
                "test",
                (opened, attachment) -> {
                    ClientConnection made = ClientConnection.on(opened, frontend, e -> {});
                    session.complete(opened);
                    connection.complete(made);
                    return made;
                },
                e -> {},
                counters);
        InetSocketAddress address = listening.start();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(30_000);
            OutputStream out = client.getOutputStream();
            out.write("POST /counters HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[10_000]);
            await(() -> connection.join().bodyComes());
            // What endIfIdle does, behind its own look; more than once, so that one falls behind the I/O thread's own
            // set for certain.
            for (int i = 0; i < 3; i++) {
                session.join().setSocketTimeout(Timeout.ONE_MILLISECOND);
                await(() -> !session.join().isOpen()
                        || session.join().getSocketTimeout().toMilliseconds() > 1);
            }
            out.write(new byte[10_000]);
            byte[] begun = client.getInputStream().readNBytes(15);
            assertEquals("HTTP/1.1 200 OK", new String(begun, StandardCharsets.US_ASCII));
            assertEquals(0, counters.get(Counter.CLIENTS_CLOSED_SLOW) + counters.get(Counter.CLIENTS_CLOSED_IDLE));
        } finally {
            listening.stopAccepting();
            CompletableFuture.runAsync(listening::close);
        }
    }

    private static void isAnswered(Socket client) throws IOException {
        assertEquals("HTTP/1.1 200 OK", new String(client.getInputStream().readNBytes(15), StandardCharsets.US_ASCII));
    }

    /**
     * Where descriptors lack idle ones end; none does on which a request comes, nor one that comes up then, though the
     * room has shrunk.
     */
    @Test
    void whereDescriptorsLackOnlyIdleOnesEnd() throws Exception {
        Counters counters = new Counters();
        Frontend frontend = frontend(counters);
        List<ClientConnection> made = new CopyOnWriteArrayList<>();
        List<Socket> clients = new ArrayList<>();
        ConnectionAcceptor listening = ConnectionAcceptor.bind(
                ANY,
                50,
                50,
                "test",
                (opened, attachment) -> {
                    ClientConnection connection = ClientConnection.on(opened, frontend, e -> {});
                    made.add(connection);
                    return connection;
                },
                e -> {},
                counters);
        InetSocketAddress address = listening.start();
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
            await(() -> made.size() == clients.size() && made.stream().allMatch(ClientConnection::bodyComes));
            assertFalse(frontend.makeRoom());
            try (Socket newcomer = new Socket(address.getAddress(), address.getPort())) {
                newcomer.setSoTimeout(30_000);
                newcomer.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                isAnswered(newcomer);
            }
            for (Socket client : clients) {
                client.getOutputStream().write(new byte[10_000]);
                isAnswered(client);
            }
            assertEquals(0, counters.get(Counter.CLIENTS_CLOSED_FOR_ROOM));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            listening.stopAccepting();
            CompletableFuture.runAsync(listening::close);
        }
    }
}
