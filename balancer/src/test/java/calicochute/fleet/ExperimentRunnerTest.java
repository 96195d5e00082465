package calicochute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.experiment.Experiment;
import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Experiment.Selector;
import calicochute.experiment.SessionCounter.Enrollment;
import calicochute.outcomes.Windows;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/** An experiment at a single balancer in simulated time. */
class ExperimentRunnerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TICK_MICROS = 100_000;
    private static final ExperimentRunner.Host NO_PEERS = new ExperimentRunner.Host() {
        @Override
        public void sendCounts(String name, String peer, byte[] counts) {}

        @Override
        public void sendSealMessage(String name, String peer, byte[] message) {}

        @Override
        public void persist(String name, byte[] state, long token, LongConsumer onSaved) {
            onSaved.accept(token);
        }
    };

    /**
     * Guards against sessions that are left out of the counts after a reload that increases the deadlines: a window
     * must stay open for the sessions that started with the longer ones.
     */
    @Test
    void windowWaitsForTheDeadlinesInForce() {
        Experiment experiment = new Experiment(
                "trial",
                "",
                null,
                new Selector("old", "", "", ""),
                new Selector("new", "", "", ""),
                0.5,
                Set.of("view"),
                null,
                null,
                0.02,
                0.05,
                List.of(new Guard("view", 0.02)),
                Duration.ofHours(1),
                null);
        long[] longestDeadline = {SECOND_MICROS};
        long now = 1_000_000 * SECOND_MICROS;
        ExperimentRunner runner = new ExperimentRunner(
                experiment, Windows.DEFAULT, List.of("me"), "me", now, () -> longestDeadline[0], false, null, NO_PEERS);
        for (int i = 0; i < 600; i++) {
            runner.tick(now += TICK_MICROS, Set.of("me"));
        }
        assertTrue(runner.report().contains("left_out=0"), runner.report());
        longestDeadline[0] = 20 * SECOND_MICROS;
        List<Enrollment> enrollments = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            enrollments.add(runner.sessionStarted(now, now + 20 * SECOND_MICROS, "call" + i, "view", "", false));
        }
        for (int i = 0; i < 150; i++) {
            runner.tick(now += TICK_MICROS, Set.of("me"));
        }
        enrollments.forEach(enrollment -> runner.sessionEnded(enrollment, 1, 1, false, false, "s"));
        for (int i = 0; i < 600; i++) {
            runner.tick(now += TICK_MICROS, Set.of("me"));
        }
        int counted = 0;
        for (String part :
                runner.report().replaceAll(".* sessions=(\\d+/\\d+) .*", "$1").split("/")) {
            counted += Integer.parseInt(part);
        }
        assertEquals(enrollments.size(), counted, runner.report());
        assertTrue(runner.report().contains("left_out=0"), runner.report());
    }
}
