package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Outcome;
import calicochute.metrics.Counter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that end connections as they come up, in each order with the call that was to go there: on a clock that only
 * the test moves.
 */
class EndedAtOnceTest extends ByHand {
    /**
     * How long a connection rests that has come up, and that has served; and the pause after a spare that its server
     * ended.
     */
    private static final long FRESH = 2_000;

    private static final long SETTLE = 5_000;
    private static final long PAUSE = 20_000_000;
    private static final long LONG = 60_000_000;
    private Connector connector;
    private ServerSocket listener;
    private BackendServers servers;

    @BeforeEach
    void start() throws IOException {
        connector = new Connector();
        connector.start();
        listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(30_000);
        servers = servers(connector, listener.getLocalPort());
        queue.step = 0;
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        connector.close();
    }

    private Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(30_000);
        return socket;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        close(socket);
    }

    private static void close(Socket socket) throws IOException {
        socket.close();
    }

    private List<Long> counted(Counter... which) {
        return Stream.of(which).map(counters::get).toList();
    }

    /** Ended before its rest was over, and heard of: nothing was sent, and this dispatch opens no other connection. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "closed", "closed on one side"})
    void whatEndsAsItComesUpHasRunNothing(String how) throws Exception {
        servers.send(dispatch(), LONG);
        try (Socket socket = accept()) {
            int sent = queue.alarms.size();
            runPosted();
            Runnable rested = alarmIn(FRESH, sent);
            switch (how) {
                case "reset" -> reset(socket);
                case "closed" -> close(socket);
                default -> socket.shutdownOutput();
            }
            runPosted();
            assertTrue(outcomes.isEmpty());
            queue.now += FRESH;
            rested.run();
            assertEquals(List.of(Outcome.CONNECT_FAILED), outcomes);
            if (how.equals("closed on one side")) {
                assertEquals(-1, socket.getInputStream().read(), "not a byte was sent");
            }
        }
        assertTrue(queue.posted.isEmpty());
        assertEquals(
                List.of(1L, 0L, 0L),
                counted(Counter.CONNECTIONS_OPENED, Counter.CONNECTIONS_REUSED, Counter.CONNECTIONS_ENDED_EARLY));
    }

    /** The other order: the server had read it. */
    @Test
    void whatWasSentBeforeTheResetMayHaveRun() throws Exception {
        servers.send(dispatch(), LONG);
        try (Socket socket = accept()) {
            int sent = queue.alarms.size();
            runPosted();
            Runnable rested = alarmIn(FRESH, sent);
            queue.now += FRESH;
            rested.run();
            readRequest(socket);
            reset(socket);
            while (outcomes.isEmpty()) {
                runPosted();
            }
        }
        assertEquals(List.of(Outcome.RESET), outcomes);
        assertEquals(1, counters.get(Counter.CONNECTIONS_OPENED), "sent once");
    }

    /**
     * Sends one more right behind an answer, so that it meets that one's connection at rest; returns what begins its
     * call.
     */
    private Runnable sendOneThatWaits() {
        long waited = counters.get(Counter.CONNECTIONS_WAITED_FOR);
        int before = queue.alarms.size();
        servers.send(dispatch(), LONG);
        assertEquals(waited + 1, counters.get(Counter.CONNECTIONS_WAITED_FOR));
        return alarmIn(SETTLE, before);
    }

    private void serveOneThatWaits(Socket kept) throws Exception {
        int before = outcomes.size();
        Runnable rested = sendOneThatWaits();
        queue.now += SETTLE;
        rested.run();
        answer(kept, before);
    }

    /**
     * Guards against a server that takes one connection only: the end of a spare must not count as that of a kept
     * connection (after which none is kept for 20 s), and no spare follows another into the same refusal.
     */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "closed"})
    void aSpareThatIsRefusedBringsItsPause(String how) throws Exception {
        try (Socket kept = serve(servers, listener, null)) {
            Runnable rested = sendOneThatWaits();
            Socket spare = accept();
            runPosted();
            if (how.equals("reset")) {
                reset(spare);
            } else {
                close(spare);
            }
            runPosted();
            assertEquals(
                    List.of(1L, 1L, 0L),
                    counted(Counter.SPARES_OPENED, Counter.SPARES_FAILED, Counter.CONNECTIONS_ENDED_EARLY));
            queue.now += SETTLE;
            rested.run();
            answer(kept, 1);
            for (int i = 0; i < 30; i++) {
                serveOneThatWaits(kept);
            }
            assertEquals(
                    List.of(2L, 1L, 1L, 0L),
                    counted(
                            Counter.CONNECTIONS_OPENED,
                            Counter.SPARES_OPENED,
                            Counter.SPARES_FAILED,
                            Counter.CONNECTIONS_ENDED_EARLY));
            assertEquals(32, outcomes.size());
            // In steps: a connection free for a third of its server's idle time is not lent again.
            for (int i = 0; i < 4; i++) {
                queue.now += PAUSE / 4;
                serve(servers, listener, kept);
            }
            sendOneThatWaits();
            assertEquals(2, counters.get(Counter.SPARES_OPENED), "the pause is over");
        }
    }

    /** Heard of by the dispatch that would have taken it, before the end itself: that brings the pause too. */
    @Test
    void aSpareThatIsFoundEndedBringsItsPause() throws Exception {
        try (Socket kept = serve(servers, listener, null)) {
            Runnable rested = sendOneThatWaits();
            Socket spare = accept();
            runPosted();
            queue.now += SETTLE;
            rested.run();
            answer(kept, 1);
            close(spare);
            Runnable ended = queue.posted.poll(30, TimeUnit.SECONDS);
            // The I/O thread knows, this one not yet: the next one finds it so.
            sendOneThatWaits();
            ended.run();
            assertEquals(List.of(1L, 1L), counted(Counter.SPARES_OPENED, Counter.SPARES_FAILED));
        }
    }

    /** The same of a connection that has served: how long its server keeps one is learnt from it. */
    @Test
    void aKeptConnectionThatIsFoundEndedIsLearntFrom() throws Exception {
        Socket kept = serve(servers, listener, null);
        queue.now += 300_000;
        close(kept);
        Runnable ended = queue.posted.poll(30, TimeUnit.SECONDS);
        servers.send(dispatch(), LONG);
        ended.run();
        assertEquals(1, counters.get(Counter.CONNECTIONS_ENDED_EARLY));
    }

    /**
     * The other order: its first call had been read by the server. That one may have run, and what is kept is kept on.
     */
    @Test
    void aSpareThatEndsWithItsFirstCallMayHaveRunThat() throws Exception {
        try (Socket kept = serve(servers, listener, null)) {
            Runnable rested = sendOneThatWaits();
            Socket spare = accept();
            runPosted();
            queue.now += FRESH;
            servers.send(dispatch(), LONG);
            readRequest(spare);
            reset(spare);
            while (outcomes.size() == 1) {
                runPosted();
            }
            queue.now += SETTLE - FRESH;
            rested.run();
            answer(kept, 2);
            serveOneThatWaits(kept);
        }
        assertEquals(List.of(Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.OK), outcomes);
        assertEquals(0, counters.get(Counter.SPARES_FAILED));
    }
}
