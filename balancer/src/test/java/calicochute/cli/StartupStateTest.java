package calicochute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicochute.cli.StartupState.Step;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class StartupStateTest {
    private static final UnaryOperator<StartupState> STARTED = StartupState::started;
    private static final UnaryOperator<StartupState> FAILED = StartupState::failed;
    private static final UnaryOperator<StartupState> STOP = StartupState::stop;

    private static List<Step> steps(List<UnaryOperator<StartupState>> events) {
        StartupState[] now = {StartupState.begun()};
        return events.stream()
                .map(event -> {
                    now[0] = event.apply(now[0]);
                    return now[0].step();
                })
                .toList();
    }

    /**
     * A stop in the start waits for its end; what has started is drained; what has failed keeps the status of a
     * failure.
     */
    @Test
    void everyOrderEndsWell() {
        assertEquals(List.of(Step.NOTHING, Step.DRAIN), steps(List.of(STARTED, STOP)));
        assertEquals(List.of(Step.WAIT, Step.DRAIN), steps(List.of(STOP, STARTED)));
        assertEquals(List.of(Step.NOTHING, Step.LEAVE), steps(List.of(FAILED, STOP)));
        assertEquals(List.of(Step.WAIT, Step.FAIL), steps(List.of(STOP, FAILED)));
    }

    /** What comes twice or too late changes nothing. */
    @Test
    void theFirstEndOfTheStartCounts() {
        assertEquals(
                List.of(Step.WAIT, Step.WAIT, Step.DRAIN, Step.DRAIN), steps(List.of(STOP, STOP, STARTED, FAILED)));
        assertEquals(List.of(Step.WAIT, Step.FAIL, Step.FAIL), steps(List.of(STOP, FAILED, STARTED)));
        assertEquals(
                List.of(Step.NOTHING, Step.LEAVE, Step.LEAVE, Step.LEAVE),
                steps(List.of(FAILED, STOP, STARTED, FAILED)));
        assertEquals(
                List.of(Step.NOTHING, Step.NOTHING, Step.DRAIN, Step.DRAIN),
                steps(List.of(STARTED, FAILED, STOP, STOP)));
    }
}
