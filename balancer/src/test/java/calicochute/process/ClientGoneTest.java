package calicochute.process;

import static calicochute.process.Program.await;
import static calicochute.process.Program.session;
import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Clients that go while their session is on its way, where the site lets nothing be withdrawn. */
public class ClientGoneTest extends OneServer {
    @Override
    Program program() throws Exception {
        return Program.edited(c -> c.replace("\"cancel\":true", "\"cancel\":false")
            .replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000"), discovery, server);
    }

    /** What waits for a connection is not sent on: it ends at once and not with the connection's time. */
    @Test
    public void whatWaitsForAConnectionIsNeverSent() throws Exception {
        program.stop();
        List<Socket> queue = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // The kernel takes in so many for it and no more: further connections don't come up.
            for (int i = 0; i < 2; i++) {
                queue.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            String address = "127.0.0.1:" + full.getLocalPort();
            program = Program.edited(c -> c.replace("\"cancel\":true", "\"cancel\":false")
                .replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000").replace(server.address(), address),
                discovery, server);
            try (Socket client = program.connect()) {
                client.getOutputStream().write(Http.message(session(ID, "order"), new byte[1]));
                await("on its way", () -> program.counter("connections_opened") == 1);
            }
            await("noticed", () -> program.counter("sessions_client_gone") == 1);
            await("held back", () -> program.counter("dispatches_held_back") == 1);
            assertEquals(1, program.counter("dispatches_moot"));
            assertEquals(0, program.counter("dispatches_connect_failed"));
        } finally {
            for (Socket socket : queue) {
                socket.close();
            }
        }
    }

    /** What a server has been given goes on to its end. */
    @Test
    public void whatHasBegunIsNotWithdrawn() throws Exception {
        server.script = r -> {
            release.await();
            return Http.answer(200, "", "a map");
        };
        try (Socket client = program.connect()) {
            client.getOutputStream().write(Http.message(session(ID, "order"), new byte[1]));
            await("on its way", () -> server.requests.size() == 1);
        }
        await("noticed", () -> program.counter("sessions_client_gone") == 1);
        assertEquals(0, program.counter("dispatches_cancelled"));
        release.countDown();
        await("ended by itself", () -> program.counter("dispatches_ok") == 1);
        assertEquals(1, program.counter("sessions_client_gone"));
    }

    /** A body whose last byte can't come any more has begun nothing, and is not kept up for good. */
    @Test
    public void aBodyCutShortIsGivenUp() throws Exception {
        try (Socket client = program.connect()) {
            client.getOutputStream().write((session(ID, "order") + "Content-Length: 300000\r\n\r\n").getBytes());
            client.getOutputStream().write(new byte[200_000]);
            await("on its way", () -> program.counter("connections_opened") == 1);
        }
        await("given up", () -> program.counter("dispatches_cancelled") == 1);
        assertEquals(0, server.requests.size());
    }
}
