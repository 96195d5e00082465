package calicochute.fleet;

import calicochute.exchange.DecisionQueue;
import calicochute.experiment.Experiment;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFile;
import calicochute.outcomes.Windows;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * The experiments of the operator's file as they are under way at this balancer, and what of them outlives the process.
 */
final class Experiments {
    private final OperatorFile file;
    private final DecisionQueue queue;
    private final long start;
    private final LongSupplier longest;
    private final Channels channels;
    private final List<Trial> trials;
    private final List<String> peers;
    private final StateFolder states;

    /**
     * @param longest deadline of any class as they are now, microseconds
     * @param trials is kept up to date, in the file's order
     */
    Experiments(
            OperatorFile file,
            DecisionQueue queue,
            long start,
            LongSupplier longest,
            Channels channels,
            List<Trial> trials) {
        this.file = file;
        this.queue = queue;
        this.start = start;
        this.longest = longest;
        this.channels = channels;
        this.trials = trials;
        peers = file.peerIds();
        states = file.state().isEmpty() ? null : new StateFolder(Path.of(file.state()), file.cluster(), file.me());
    }

    void begin(Experiment experiment) {
        Trial trial = trial(experiment, null);
        byte[] kept = states == null ? null : states.read(trial.name());
        trials.add(kept == null ? trial : trial(experiment, kept));
        Log.info(
                "experiment",
                "name=" + trial.name() + " remembered=" + (kept != null)
                        + (states == null ? " (no state folder: it begins anew if all restart)" : ""));
    }

    private Trial trial(Experiment experiment, byte[] kept) {
        return new Trial(
                experiment, Windows.DEFAULT, peers, file.me(), start, longest, states != null, kept, new Host());
    }

    /** One that is written as before goes on; one that is not begins anew, and one that is gone ends. */
    void change(List<Experiment> wanted) {
        List<Trial> before = List.copyOf(trials);
        trials.clear();
        for (Experiment experiment : wanted) {
            Trial same = before.stream()
                    .filter(t -> t.experiment().equals(experiment))
                    .findFirst()
                    .orElse(null);
            if (same != null) {
                trials.add(same);
                continue;
            }
            before.stream()
                    .filter(t -> t.experiment().name().equals(experiment.name()))
                    .forEach(t -> Log.warn(
                            "experiment-changed",
                            "name=" + t.name() + " ends with verdict " + t.verdict()
                                    + " and begins anew under another name"));
            begin(experiment);
        }
        before.stream().filter(t -> !trials.contains(t)).forEach(t -> Log.info("experiment-ends", t.text()));
    }

    /** Lines for staff. */
    String text() {
        return trials.isEmpty()
                ? "none\n"
                : trials.stream().map(t -> t.text() + '\n').collect(Collectors.joining());
    }

    private final class Host implements Trial.Host {
        @Override
        public void counts(String name, String peer, byte[] counts) {
            channels.counts(name, peer, counts);
        }

        @Override
        public void seal(String name, String peer, byte[] message) {
            channels.seal(name, peer, message);
        }

        @Override
        public void keep(String name, byte[] state, long token, LongConsumer kept) {
            if (states == null) {
                kept.accept(token);
            } else {
                states.write(name, state, () -> queue.post(() -> kept.accept(token)));
            }
        }
    }
}
