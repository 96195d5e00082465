package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.backend.Progress.Step;
import calicochute.decision.Balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All orders in which a handful of events can meet a request on its way, the impossible among them. */
class ProgressTest {
    private enum Event {
        CONNECTED,
        CONNECTED_AND_ENDED,
        REUSED_AND_ENDED,
        NOT_CONNECTED,
        TIMED_OUT,
        SESSION_OVER,
        SERVER_OUT,
        TOO_LATE,
        WITHDRAWN,
        BEGUN,
        RESET,
        NOTHING_SENT
    }

    private static final int LENGTH = 5;
    private static final long NOT_AFTER = 100;

    private static void check(List<Event> events) {
        Progress progress = new Progress(NOT_AFTER);
        boolean owed = true;
        boolean in = true;
        boolean out = false;
        boolean begun = false;
        long now = 0;
        int ends = 0;
        for (Event event : events) {
            boolean waited = progress.waiting();
            owed &= event != Event.SESSION_OVER;
            in &= event != Event.SERVER_OUT;
            now = event == Event.TOO_LATE ? NOT_AFTER : now;
            Step step = switch (event) {
                case CONNECTED -> progress.connected(now, owed, in, true, true);
                case CONNECTED_AND_ENDED -> progress.connected(now, owed, in, false, true);
                case REUSED_AND_ENDED -> progress.connected(now, owed, in, false, false);
                case NOT_CONNECTED -> progress.unconnected();
                case TIMED_OUT -> progress.timedOut();
                case SESSION_OVER -> progress.sessionOver(false);
                case WITHDRAWN -> progress.withdrawn();
                case BEGUN -> progress.begun();
                case RESET -> progress.replied(Outcome.RESET, false);
                case NOTHING_SENT -> progress.replied(Outcome.CONNECT_FAILED, true);
                case SERVER_OUT, TOO_LATE -> Step.NOTHING;
            };
            String told = events + " at " + event;
            if (step == Step.CALL) {
                assertTrue(waited && owed && in && now < NOT_AFTER, () -> "sent on: " + told);
                assertFalse(out, () -> "two calls at a time: " + told);
                out = true;
            }
            if (event == Event.NOTHING_SENT && out && !begun) {
                assertEquals(Step.FIND_CONNECTION, step, told);
                out = false;
            }
            begun |= event == Event.BEGUN && out;
            if (step == Step.END) {
                ends++;
                assertFalse(event == Event.SESSION_OVER && out, () -> "withdrawn unasked: " + told);
                assertFalse(event == Event.TIMED_OUT && begun, () -> "an answer that has begun timed out: " + told);
                assertFalse(
                        out && event != Event.NOTHING_SENT && progress.outcome().provesNotRun(),
                        () -> "may have run: " + told);
                assertTrue(
                        out || progress.outcome().provesNotRun() || event == Event.WITHDRAWN,
                        () -> "has not run: " + told);
                out = false;
            }
            assertEquals(ends == 1, progress.ended(), told);
        }
    }

    private static void checkAll(List<Event> events) {
        check(events);
        if (events.size() < LENGTH) {
            for (Event next : Event.values()) {
                List<Event> longer = new ArrayList<>(events);
                longer.add(next);
                checkAll(longer);
            }
        }
    }

    @Test
    void nothingIsSentThatMayNotBeAndEachEndsOnce() {
        checkAll(List.of());
    }

    @Test
    void aBodyThatCannotComeToItsEndIsNotKeptUp() {
        Progress progress = new Progress(NOT_AFTER);
        progress.connected(0, true, true, true, true);
        assertEquals(Step.END, progress.sessionOver(true));
        assertEquals(Outcome.CANCELLED, progress.outcome());
    }
}
