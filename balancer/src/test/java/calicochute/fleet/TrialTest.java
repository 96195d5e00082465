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

/** One balancer's part in an experiment, alone and in virtual time. */
class TrialTest {
    private static final long SECOND = 1_000_000, TICK = 100_000;
    private static final Trial.Host ALONE = new Trial.Host() {
        @Override
        public void counts(String name, String peer, byte[] counts) {}

        @Override
        public void seal(String name, String peer, byte[] message) {}

        @Override
        public void keep(String name, byte[] state, long token, LongConsumer kept) {
            kept.accept(token);
        }
    };

    /**
     * A reload lengthens the deadlines: a window waits for the sessions that began with the longer ones, and none is
     * left out.
     */
    @Test
    void aWindowWaitsForTheDeadlinesInForce() {
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
        long[] longest = {SECOND};
        long now = 1_000_000 * SECOND;
        Trial trial =
                new Trial(experiment, Windows.DEFAULT, List.of("me"), "me", now, () -> longest[0], false, null, ALONE);
        for (int i = 0; i < 600; i++) {
            trial.tick(now += TICK, Set.of("me"));
        }
        assertTrue(trial.text().contains("left_out=0"), trial.text());
        longest[0] = 20 * SECOND;
        List<Enrollment> tickets = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            tickets.add(trial.begin(now, now + 20 * SECOND, "call" + i, "view", "", false));
        }
        for (int i = 0; i < 150; i++) {
            trial.tick(now += TICK, Set.of("me"));
        }
        tickets.forEach(t -> trial.over(t, 1, 1, false, false, "s"));
        for (int i = 0; i < 600; i++) {
            trial.tick(now += TICK, Set.of("me"));
        }
        int counted = 0;
        for (String part :
                trial.text().replaceAll(".* sessions=(\\d+/\\d+) .*", "$1").split("/")) {
            counted += Integer.parseInt(part);
        }
        assertEquals(tickets.size(), counted, trial.text());
        assertTrue(trial.text().contains("left_out=0"), trial.text());
    }
}
