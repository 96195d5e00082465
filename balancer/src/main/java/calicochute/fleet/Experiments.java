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

/** The running experiments of the operator's file, and their state across restarts. */
final class Experiments {
    private final OperatorFile file;
    private final DecisionQueue queue;
    private final long startMicros;
    private final LongSupplier longestDeadline;
    private final PeerMessaging messaging;
    private final List<ExperimentRunner> running;
    private final List<String> peers;
    private final StateFolder stateFolder;

    /**
     * @param startMicros start time of this process
     * @param longestDeadline longest deadline of the classes in force, in microseconds
     * @param running list that this object keeps up to date, in the file's order
     */
    Experiments(
            OperatorFile file,
            DecisionQueue queue,
            long startMicros,
            LongSupplier longestDeadline,
            PeerMessaging messaging,
            List<ExperimentRunner> running) {
        this.file = file;
        this.queue = queue;
        this.startMicros = startMicros;
        this.longestDeadline = longestDeadline;
        this.messaging = messaging;
        this.running = running;
        peers = file.peerIds();
        stateFolder = file.state().isEmpty() ? null : new StateFolder(Path.of(file.state()), file.cluster(), file.me());
    }

    /** Starts an experiment, from its saved state if there is one. */
    void start(Experiment experiment) {
        ExperimentRunner runner = create(experiment, null);
        byte[] saved = stateFolder == null ? null : stateFolder.read(runner.name());
        running.add(saved == null ? runner : create(experiment, saved));
        Log.info(
                "experiment",
                "name=" + runner.name() + " remembered=" + (saved != null)
                        + (stateFolder == null ? " (no state folder: it starts over if all balancers restart)" : ""));
    }

    private ExperimentRunner create(Experiment experiment, byte[] saved) {
        return new ExperimentRunner(
                experiment,
                Windows.DEFAULT,
                peers,
                file.me(),
                startMicros,
                longestDeadline,
                stateFolder != null,
                saved,
                new Host());
    }

    /** Continues unchanged experiments, starts changed ones over under another name, and ends removed ones. */
    void update(List<Experiment> configured) {
        List<ExperimentRunner> before = List.copyOf(running);
        running.clear();
        for (Experiment experiment : configured) {
            ExperimentRunner unchanged = before.stream()
                    .filter(runner -> runner.experiment().equals(experiment))
                    .findFirst()
                    .orElse(null);
            if (unchanged != null) {
                running.add(unchanged);
                continue;
            }
            before.stream()
                    .filter(runner -> runner.experiment().name().equals(experiment.name()))
                    .forEach(changed -> Log.warn(
                            "experiment-changed",
                            "name=" + changed.name() + " ends with verdict " + changed.verdict()
                                    + " and starts over under another name"));
            start(experiment);
        }
        before.stream()
                .filter(runner -> !running.contains(runner))
                .forEach(ended -> Log.info("experiment-ends", ended.report()));
    }

    /** One line per experiment, for operators. */
    String report() {
        return running.isEmpty()
                ? "none\n"
                : running.stream().map(runner -> runner.report() + '\n').collect(Collectors.joining());
    }

    private final class Host implements ExperimentRunner.Host {
        @Override
        public void sendCounts(String name, String peer, byte[] counts) {
            messaging.sendCounts(name, peer, counts);
        }

        @Override
        public void sendSealMessage(String name, String peer, byte[] message) {
            messaging.sendSealMessage(name, peer, message);
        }

        @Override
        public void persist(String name, byte[] state, long token, LongConsumer onSaved) {
            if (stateFolder == null) {
                onSaved.accept(token);
            } else {
                stateFolder.write(name, state, () -> queue.post(() -> onSaved.accept(token)));
            }
        }
    }
}
