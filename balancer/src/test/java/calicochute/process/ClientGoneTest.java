package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.Test;

/**
 * Clients that disconnect during their session, with a configuration that does not allow dispatches to be cancelled.
 */
public class ClientGoneTest extends SingleServerFixture {
    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withEditedConfig(
                c -> c.replace("\"cancel\":true", "\"cancel\":false")
                        .replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000"),
                discovery,
                server);
    }

    private interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Runs a test with a backend server that never accepts a connection. */
    private void withUnreachableServer(UnaryOperator<String> edit, ThrowingRunnable test) throws Exception {
        balancer.stop();
        List<Socket> queue = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Fills the accept queue, so that the kernel accepts no further connection.
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            String address = "127.0.0.1:" + full.getLocalPort();
            balancer = BalancerProcess.withEditedConfig(
                    c -> edit.apply(c)
                            .replace("\"cancel\":true", "\"cancel\":false")
                            .replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000")
                            .replace(server.address(), address),
                    discovery,
                    server);
            test.run();
        } finally {
            for (Socket socket : queue) {
                socket.close();
            }
        }
    }

    /**
     * A dispatch that waits for a connection is not sent after its client disconnects: it ends at once, not at the
     * connect timeout.
     */
    @Test
    public void dispatchWaitingForConnectionIsNotSent() throws Exception {
        withUnreachableServer(c -> c, () -> {
            try (Socket client = balancer.connect()) {
                client.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
                await("the connection is being opened", () -> balancer.counter("connections_opened") == 1);
            }
            await("the disconnect is detected", () -> balancer.counter("sessions_client_gone") == 1);
            await("the dispatch is held back", () -> balancer.counter("dispatches_held_back") == 1);
            assertEquals(1, balancer.counter("dispatches_moot"));
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
        });
    }

    /**
     * A dispatch is also held back if its client sends more than the receive window before it disconnects, with a
     * complete or truncated body, by a close or a reset.
     */
    @Test
    public void disconnectAfterLongBodyIsDetected() throws Exception {
        withUnreachableServer(c -> c, () -> {
            int disconnected = 0;
            for (int sent : List.of(70_000, 150_000, 900_000)) {
                for (int length : List.of(sent, 2_000_000)) {
                    for (boolean reset : List.of(false, true)) {
                        String sessionId = String.format("%016x", disconnected + 1);
                        try (Socket client = balancer.connect()) {
                            client.getOutputStream()
                                    .write((session(sessionId, "order") + "Content-Length: " + length + "\r\n\r\n")
                                            .getBytes());
                            client.getOutputStream().write(new byte[sent]);
                            int taken = disconnected + 1;
                            await("the session is taken", () -> balancer.counter("sessions_taken") == taken);
                            client.setSoLinger(reset, 0);
                        }
                        int ended = ++disconnected;
                        await(
                                "disconnect detected after " + sent + " of " + length + ", reset " + reset,
                                () -> balancer.counter("sessions_client_gone") == ended);
                        await("the dispatch is held back", () -> balancer.counter("dispatches_held_back") == ended);
                    }
                }
            }
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
        });
    }

    /**
     * A dispatch is also held back if no memory is left to read the body to its end: the reset is detected without
     * reading, and the other clients are not affected.
     */
    @Test
    public void resetIsDetectedWithoutReading() throws Exception {
        withUnreachableServer(c -> c.replace("\"memory_mb\":128", "\"memory_mb\":1"), () -> {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                Socket client = balancer.connect();
                clients.add(client);
                client.getOutputStream()
                        .write((session(String.format("%016x", i), "order") + "Content-Length: 150000\r\n\r\n")
                                .getBytes());
                client.getOutputStream().write(new byte[150_000]);
            }
            await("the sessions are taken", () -> balancer.counter("sessions_taken") == clients.size());
            for (int i = 0; i < clients.size(); i += 2) {
                clients.get(i).setSoLinger(true, 0);
                clients.get(i).close();
            }
            await("the disconnect is detected", () -> balancer.counter("sessions_client_gone") == clients.size() / 2);
            await("the dispatch is held back", () -> balancer.counter("dispatches_held_back") == clients.size() / 2);
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
            assertEquals(0, balancer.counter("sessions_denied") + balancer.counter("sessions_failed"));
            for (Socket client : clients) {
                client.close();
            }
        });
    }

    /** A dispatch that was sent continues to its end. */
    @Test
    public void sentDispatchIsNotCancelled() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "a map");
        };
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
        }
        await("the disconnect is detected", () -> balancer.counter("sessions_client_gone") == 1);
        assertEquals(0, balancer.counter("dispatches_cancelled"));
        release.countDown();
        await("the dispatch ends", () -> balancer.counter("dispatches_ok") == 1);
        assertEquals(1, balancer.counter("sessions_client_gone"));
    }

    /**
     * A request whose body was truncated by its client has not run: its dispatch is cancelled even with this
     * configuration.
     */
    @Test
    public void truncatedUploadIsCancelled() throws Exception {
        openServerConnection();
        awaitCancelledUpload(id -> {
            try (Socket client = balancer.connect()) {
                client.getOutputStream().write((session(id, "order") + "Content-Length: 30000000\r\n\r\n").getBytes());
                // More than the balancer reads ahead and the socket buffers hold: part of it goes to the server.
                client.getOutputStream().write(new byte[20_000_000]);
            }
        });
        assertEquals(1, server.requests.size());
    }
}
