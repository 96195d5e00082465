package calicochute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicochute.cli.StartupState.Step;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** A stop at any time of the start: what the shutdown hook does, and that the status of a failed start is kept. */
class StartupStateTest {
    private static final UnaryOperator<StartupState> STARTED = StartupState::started;
    private static final UnaryOperator<StartupState> FAILED = StartupState::failed;
    private static final UnaryOperator<StartupState> STOP = StartupState::stop;

    private static List<Step> steps(List<UnaryOperator<StartupState>> events) {
        StartupState[] state = {StartupState.starting()};
        return events.stream()
                .map(event -> {
                    state[0] = event.apply(state[0]);
                    return state[0].step();
                })
                .toList();
    }

    /** A stop during the start waits until it is over; a started process is drained; a failed one keeps its status. */
    @Test
    void stopBeforeAndAfterTheEndOfTheStart() {
        assertEquals(List.of(Step.NONE, Step.DRAIN), steps(List.of(STARTED, STOP)));
        assertEquals(List.of(Step.WAIT, Step.DRAIN), steps(List.of(STOP, STARTED)));
        assertEquals(List.of(Step.NONE, Step.RETURN), steps(List.of(FAILED, STOP)));
        assertEquals(List.of(Step.WAIT, Step.FAIL), steps(List.of(STOP, FAILED)));
    }

    /** Events that come twice or too late change nothing. */
    @Test
    void firstEndOfTheStartCounts() {
        assertEquals(
                List.of(Step.WAIT, Step.WAIT, Step.DRAIN, Step.DRAIN), steps(List.of(STOP, STOP, STARTED, FAILED)));
        assertEquals(List.of(Step.WAIT, Step.FAIL, Step.FAIL), steps(List.of(STOP, FAILED, STARTED)));
        assertEquals(
                List.of(Step.NONE, Step.RETURN, Step.RETURN, Step.RETURN),
                steps(List.of(FAILED, STOP, STARTED, FAILED)));
        assertEquals(
                List.of(Step.NONE, Step.NONE, Step.DRAIN, Step.DRAIN), steps(List.of(STARTED, FAILED, STOP, STOP)));
    }
}
