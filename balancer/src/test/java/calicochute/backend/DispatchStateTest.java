package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.backend.DispatchState.Step;
import calicochute.decision.Balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All sequences of a few events during the execution of a dispatch, including impossible ones. */
class DispatchStateTest {
    private enum Event {
        CONNECTION_READY,
        NEW_CONNECTION_CLOSED,
        REUSED_CONNECTION_CLOSED,
        CONNECT_FAILED,
        TIMED_OUT,
        SESSION_ENDED,
        SERVER_INELIGIBLE,
        TOO_LATE,
        CANCELLED,
        RESPONSE_STARTED,
        RESET,
        NOTHING_SENT
    }

    private static final int SEQUENCE_LENGTH = 5;
    private static final long NOT_AFTER = 100;

    private static void check(List<Event> events) {
        DispatchState state = new DispatchState(NOT_AFTER);
        boolean awaitsResponse = true;
        boolean eligible = true;
        boolean called = false;
        boolean responding = false;
        long now = 0;
        int ends = 0;
        for (Event event : events) {
            boolean wasWaiting = state.waiting();
            awaitsResponse &= event != Event.SESSION_ENDED;
            eligible &= event != Event.SERVER_INELIGIBLE;
            now = event == Event.TOO_LATE ? NOT_AFTER : now;
            Step step = switch (event) {
                case CONNECTION_READY -> state.connectionReady(now, awaitsResponse, eligible, true, true);
                case NEW_CONNECTION_CLOSED -> state.connectionReady(now, awaitsResponse, eligible, false, true);
                case REUSED_CONNECTION_CLOSED -> state.connectionReady(now, awaitsResponse, eligible, false, false);
                case CONNECT_FAILED -> state.connectFailed();
                case TIMED_OUT -> state.timedOut();
                case SESSION_ENDED -> state.sessionEnded(false);
                case CANCELLED -> state.cancelled();
                case RESPONSE_STARTED -> state.responseStarted();
                case RESET -> state.callEnded(Outcome.RESET, false);
                case NOTHING_SENT -> state.callEnded(Outcome.CONNECT_FAILED, true);
                case SERVER_INELIGIBLE, TOO_LATE -> Step.NONE;
            };
            String description = events + " at " + event;
            if (step == Step.CALL) {
                assertTrue(
                        wasWaiting && awaitsResponse && eligible && now < NOT_AFTER,
                        () -> "not allowed to be sent: " + description);
                assertFalse(called, () -> "two calls at a time: " + description);
                called = true;
            }
            if (event == Event.NOTHING_SENT && called && !responding) {
                assertEquals(Step.FIND_CONNECTION, step, description);
                called = false;
            }
            responding |= event == Event.RESPONSE_STARTED && called;
            if (step == Step.END) {
                ends++;
                assertFalse(
                        event == Event.SESSION_ENDED && called,
                        () -> "cancelled although the request body is complete: " + description);
                assertFalse(
                        event == Event.TIMED_OUT && responding, () -> "a streamed response timed out: " + description);
                assertFalse(
                        called && event != Event.NOTHING_SENT && state.outcome().provesNotRun(),
                        () -> "may have been executed: " + description);
                assertTrue(
                        called || state.outcome().provesNotRun() || event == Event.CANCELLED,
                        () -> "has not been executed: " + description);
                called = false;
            }
            assertEquals(ends == 1, state.ended(), description);
        }
    }

    private static void checkAll(List<Event> events) {
        check(events);
        if (events.size() < SEQUENCE_LENGTH) {
            for (Event next : Event.values()) {
                List<Event> longer = new ArrayList<>(events);
                longer.add(next);
                checkAll(longer);
            }
        }
    }

    @Test
    void neverSentWhenForbiddenAndEndsOnce() {
        checkAll(List.of());
    }

    @Test
    void callWithAbortedBodyIsCancelled() {
        DispatchState state = new DispatchState(NOT_AFTER);
        state.connectionReady(0, true, true, true, true);
        assertEquals(Step.END, state.sessionEnded(true));
        assertEquals(Outcome.CANCELLED, state.outcome());
    }
}
