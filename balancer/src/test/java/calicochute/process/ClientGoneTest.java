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

/** Clients that go while their session is on its way, where the site lets nothing be withdrawn. */
public class ClientGoneTest extends SingleServerFixture {
    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withEditedConfig(
                c -> c.replace("\"cancel\":true", "\"cancel\":false")
                        .replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000"),
                discovery,
                server);
    }

    private interface Work {
        void run() throws Exception;
    }

    /** With a server to which no connection comes up. */
    private void unreachable(UnaryOperator<String> edit, Work work) throws Exception {
        balancer.stop();
        List<Socket> queue = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // The kernel takes in so many for it and no more: further connections don't come up.
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
            work.run();
        } finally {
            for (Socket socket : queue) {
                socket.close();
            }
        }
    }

    /** What waits for a connection is not sent on: it ends at once and not with the connection's time. */
    @Test
    public void whatWaitsForAConnectionIsNeverSent() throws Exception {
        unreachable(c -> c, () -> {
            try (Socket client = balancer.connect()) {
                client.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
                await("on its way", () -> balancer.counter("connections_opened") == 1);
            }
            await("noticed", () -> balancer.counter("sessions_client_gone") == 1);
            await("held back", () -> balancer.counter("dispatches_held_back") == 1);
            assertEquals(1, balancer.counter("dispatches_moot"));
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
        });
    }

    /** Nor is one whose client has sent more than its window before it went, whole or not, with or without a reset. */
    @Test
    public void theEndBehindALongBodyIsSeen() throws Exception {
        unreachable(c -> c, () -> {
            int gone = 0;
            for (int sent : List.of(70_000, 150_000, 900_000)) {
                for (int length : List.of(sent, 2_000_000)) {
                    for (boolean reset : List.of(false, true)) {
                        String id = String.format("%016x", gone + 1);
                        try (Socket client = balancer.connect()) {
                            client.getOutputStream()
                                    .write((session(id, "order") + "Content-Length: " + length + "\r\n\r\n")
                                            .getBytes());
                            client.getOutputStream().write(new byte[sent]);
                            int taken = gone + 1;
                            await("taken", () -> balancer.counter("sessions_taken") == taken);
                            client.setSoLinger(reset, 0);
                        }
                        int ended = ++gone;
                        await(
                                "noticed " + sent + " of " + length + ", reset " + reset,
                                () -> balancer.counter("sessions_client_gone") == ended);
                        await("held back", () -> balancer.counter("dispatches_held_back") == ended);
                    }
                }
            }
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
        });
    }

    /** Nor where there is no room to read on to its end: its reset is seen, and the others are not disturbed. */
    @Test
    public void aResetIsSeenThoughNothingIsRead() throws Exception {
        unreachable(c -> c.replace("\"memory_mb\":128", "\"memory_mb\":1"), () -> {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                Socket client = balancer.connect();
                clients.add(client);
                client.getOutputStream()
                        .write((session(String.format("%016x", i), "order") + "Content-Length: 150000\r\n\r\n")
                                .getBytes());
                client.getOutputStream().write(new byte[150_000]);
            }
            await("taken", () -> balancer.counter("sessions_taken") == clients.size());
            for (int i = 0; i < clients.size(); i += 2) {
                clients.get(i).setSoLinger(true, 0);
                clients.get(i).close();
            }
            await("noticed", () -> balancer.counter("sessions_client_gone") == clients.size() / 2);
            await("held back", () -> balancer.counter("dispatches_held_back") == clients.size() / 2);
            assertEquals(0, balancer.counter("dispatches_connect_failed"));
            assertEquals(0, balancer.counter("sessions_denied") + balancer.counter("sessions_failed"));
            for (Socket client : clients) {
                client.close();
            }
        });
    }

    /** What a server has been given goes on to its end. */
    @Test
    public void whatHasBegunIsNotWithdrawn() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "a map");
        };
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
            await("on its way", () -> server.requests.size() == 1);
        }
        await("noticed", () -> balancer.counter("sessions_client_gone") == 1);
        assertEquals(0, balancer.counter("dispatches_cancelled"));
        release.countDown();
        await("ended by itself", () -> balancer.counter("dispatches_ok") == 1);
        assertEquals(1, balancer.counter("sessions_client_gone"));
    }

    /** A body whose last byte can't come any more has begun nothing, and is not kept up for good. */
    @Test
    public void aBodyCutShortIsGivenUp() throws Exception {
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write((session(ID, "order") + "Content-Length: 30000000\r\n\r\n").getBytes());
            // More than is read, or fits into the systems' buffers, before its server is given some.
            client.getOutputStream().write(new byte[20_000_000]);
        }
        await("given up", () -> balancer.counter("dispatches_cancelled") == 1);
        assertEquals(0, server.requests.size());
    }
}
