package calicochute.listening;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.listening.ConnectionEnd.Step;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All orders of what can happen at a connection's end. */
class ConnectionEndTest {
    private enum Event {
        DEAFEN,
        BYTES,
        FLOOD,
        PEER_ENDS,
        END,
        TIME
    }

    private static final int LENGTH = 6;
    private long now;

    private Step play(ConnectionEnd end, Event event, boolean owed) {
        return switch (event) {
            case DEAFEN -> {
                end.deafen();
                yield null;
            }
            // Bytes that nobody takes are dropped only once nothing is a request any more.
            case BYTES -> end.takesRequests() ? null : end.dropped(100, owed, now);
            case FLOOD -> end.takesRequests() ? null : end.dropped(ConnectionEnd.MOST + 1, owed, now);
            case PEER_ENDS -> end.peerEnded(owed);
            case END -> end.end(now);
            case TIME -> {
                now += ConnectionEnd.LINGER_MS;
                yield end.lingered(now);
            }
        };
    }

    /**
     * In whatever order: shut down once and closed once; closed only behind the peer's end, the linger or a flood, not
     * in the step of the shutdown; reset only while an answer is owed; nothing taken for a request behind the shutdown.
     */
    @Test
    void everyOrderEndsWell() {
        int orders = (int) Math.pow(Event.values().length, LENGTH);
        for (int order = 0; order < 2 * orders; order++) {
            boolean owed = order >= orders;
            ConnectionEnd end = new ConnectionEnd();
            List<Event> played = new ArrayList<>();
            boolean deaf = false;
            int shut = 0;
            int closed = 0;
            for (int i = 0, rest = order % orders; i < LENGTH; i++, rest /= Event.values().length) {
                Event event = Event.values()[rest % Event.values().length];
                played.add(event);
                // What this side ends owes nothing any more.
                Step step = play(end, event, owed && shut + closed == 0);
                deaf |= event == Event.DEAFEN || event == Event.END;
                assertEquals(!deaf, end.takesRequests(), () -> "requests behind " + played);
                if (step == Step.SHUT_DOWN) {
                    assertEquals(Event.END, event);
                    assertFalse(played.contains(Event.PEER_ENDS), () -> "shut down for nobody: " + played);
                    shut++;
                } else if (step == Step.CLOSE) {
                    boolean peerEnded = played.contains(Event.PEER_ENDS);
                    assertTrue(
                            peerEnded
                                    || shut == 1
                                            && (event == Event.TIME
                                                    || event == Event.FLOOD
                                                    || played.contains(Event.FLOOD)),
                            () -> "closed too early: " + played);
                    closed++;
                } else if (step == Step.RESET) {
                    assertTrue(
                            owed && shut + closed == 0 && (event == Event.PEER_ENDS || end.flooded()),
                            () -> "reset: " + played);
                }
                assertTrue(shut <= 1 && closed <= 1, () -> "twice: " + played);
            }
            // Whatever came before: this side's end and a little time, and nothing is left.
            Step ending = end.end(now);
            now += ConnectionEnd.LINGER_MS;
            Step late = end.lingered(now);
            assertEquals(
                    1,
                    closed + (ending == Step.CLOSE ? 1 : 0) + (late == Step.CLOSE ? 1 : 0),
                    () -> "left open: " + played);
        }
    }

    /** A client that goes is told of while its answer is owed, and bytes behind its request don't hide that. */
    @Test
    void goneIsGoneBehindStrayBytes() {
        ConnectionEnd end = new ConnectionEnd();
        end.deafen();
        assertEquals(Step.READ_ON, end.dropped(ConnectionEnd.MOST, true, 0));
        assertEquals(Step.RESET, end.peerEnded(true));
    }

    /** The bound holds over many small pieces, and doesn't begin anew with the shutdown. */
    @Test
    void aFloodIsBounded() {
        ConnectionEnd end = new ConnectionEnd();
        end.deafen();
        for (int i = 0; i < ConnectionEnd.MOST / 1024; i++) {
            assertEquals(Step.READ_ON, end.dropped(1024, true, 0));
        }
        assertEquals(Step.REST, end.dropped(1, false, 0));
        assertEquals(Step.RESET, end.dropped(Integer.MAX_VALUE, true, 0));
        assertNotEquals(Step.CLOSE, end.end(0));
        assertEquals(Step.CLOSE, end.dropped(1, false, 0));
    }
}
