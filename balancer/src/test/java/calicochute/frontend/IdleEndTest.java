package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import calicochute.exchange.Sessions;
import calicochute.listening.Listening;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.presence.Presence;
import calicochute.settings.Bounds;
import calicochute.settings.Configuration;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.Test;

/** The end of idle connections that is asked for on one thread while a request begins to come on another. */
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
        public Alarm after(long micros, Runnable task) {
            throw new AssertionError("no alarm is needed here");
        }
    };
    private static final Sessions NONE = new Sessions() {
        @Override
        public void taken(Exchange exchange) {
            throw new AssertionError("no session is sent here");
        }

        @Override
        public void arrived(Exchange exchange) {
            taken(exchange);
        }

        @Override
        public void clientGone(Exchange exchange) {
            taken(exchange);
        }

        @Override
        public void passed(Exchange exchange, boolean whole) {
            taken(exchange);
        }
    };

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long latest = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < latest, "waited in vain");
            Thread.sleep(1);
        }
    }

    /** Asked for just before the body began, heard just behind it: the body keeps its own time, and its request is answered. */
    @Test
    void aBodyThatHasJustBegunIsNotEnded() throws Exception {
        Counters counters = new Counters();
        Frontend frontend = new Frontend(new Configuration("n0", ANY, null, ANY, Bounds.of(64, false, 64), 0, "", null, null),
            null, QUEUE, NONE, counters, () -> true, Presence::serving, () -> null);
        CompletableFuture<ProtocolIOSession> session = new CompletableFuture<>();
        CompletableFuture<ClientConnection> connection = new CompletableFuture<>();
        Listening listening = Listening.at(ANY, 5, 5, "test", (opened, attachment) -> {
            ClientConnection made = ClientConnection.on(opened, frontend, e -> { });
            session.complete(opened);
            connection.complete(made);
            return made;
        }, e -> { }, counters);
        InetSocketAddress address = listening.start();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(30_000);
            OutputStream out = client.getOutputStream();
            out.write("POST /counters HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[10_000]);
            await(() -> connection.join().bodyComes());
            // What endIfIdle does, behind its own look; more than once, so that one falls behind the I/O thread's own set for certain.
            for (int i = 0; i < 3; i++) {
                session.join().setSocketTimeout(Timeout.ONE_MILLISECOND);
                await(() -> !session.join().isOpen() || session.join().getSocketTimeout().toMilliseconds() > 1);
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
}
