package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Clients that go while an answer is owed, and connections that end while bytes are on their way. */
public class ClientEndTest extends SingleServerFixture {
    private static final String VIEW = session(ID, "view") + "\r\n";

    /** Their answers wait until {@link #release}: what ends before has ended for another reason. */
    private void holdAnswers() {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "a map");
        };
    }

    private static String named(int i) {
        return VIEW.replace(ID, String.format("%016x", i + 1));
    }

    /**
     * Whatever came behind its request: a client's end is noticed while its answer is owed, and its dispatch taken
     * back.
     */
    @Test
    public void bytesBehindARequestDontHideTheEnd() throws Exception {
        holdAnswers();
        List<String> behind = List.of("", "\r\n", "x", named(100), named(101).repeat(300));
        int gone = 0;
        for (boolean reset : List.of(false, true)) {
            for (String bytes : behind) {
                Socket socket = balancer.connect();
                socket.getOutputStream().write(named(gone).getBytes(StandardCharsets.US_ASCII));
                int sent = gone + 1;
                await("dispatched", () -> server.requests.size() == sent);
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
                if (reset) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    // Its end in the same moment as its bytes, and one that reads on: it has gone all the same.
                    socket.shutdownOutput();
                }
                await(
                        "gone behind " + bytes.length() + " bytes, reset " + reset,
                        () -> balancer.counter("sessions_client_gone") == sent
                                && balancer.counter("dispatches_cancelled") == sent);
                socket.close();
                gone++;
            }
        }
        assertEquals(gone, server.requests.size());
    }

    /** In a drain as well, and it does not hold the drain up. */
    @Test
    public void goneInADrain() throws Exception {
        holdAnswers();
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write((VIEW + "x").getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            balancer.process.destroy();
            await("draining", () -> balancer.log().contains("draining unanswered=1"));
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_client_gone 1"));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 0"));
    }

    /** A client that sends on behind its request is not read for ever. */
    @Test
    public void aFloodBehindARequestIsEnded() throws Exception {
        holdAnswers();
        try (Socket socket = balancer.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(VIEW.getBytes(StandardCharsets.US_ASCII));
            await("ended", () -> {
                try {
                    out.write(new byte[10_000]);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
        await("gone", () -> balancer.counter("sessions_client_gone") == 1);
        assertEquals(1, balancer.counter("clients_closed_flooding"));
    }

    /**
     * Bytes that nobody reads don't reset the connection under its answer: it arrives, and the connection ends behind
     * it.
     */
    @Test
    public void anAnswerOutlivesBytesBehindItsRequest() throws Exception {
        holdAnswers();
        try (Socket socket = balancer.connect();
                Socket tooLong = balancer.connect()) {
            socket.getOutputStream().write((VIEW + named(7).repeat(500)).getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            release.countDown();
            await("answered", () -> balancer.counter("sessions_served") == 1);
            socket.getOutputStream().write(named(8).getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            assertEquals("the end, and no reset", -1, socket.getInputStream().read());
            // Refused at its head, while the body comes on.
            tooLong.getOutputStream()
                    .write((session(ID, "scan") + "Content-Length: 60000000\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            tooLong.getOutputStream().write(new byte[300_000]);
            assertEquals(413, HttpMessage.read(tooLong.getInputStream()).status());
            assertEquals("the end, and no reset", -1, tooLong.getInputStream().read());
        }
        assertEquals("none of what came behind is sent on", 1, server.requests.size());
    }
}
