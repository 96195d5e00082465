package calicochute.node;

import calicochute.decision.Balancer;
import calicochute.decision.Handover;
import calicochute.decision.LearntState;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.takeover.LearntFile;
import calicochute.takeover.Origin;
import calicochute.takeover.SaveTime;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Restores the decision module's learnt state from the previous process, and saves it for the next one. */
final class LearntStatePersistence {
    private static final long SAVE_INTERVAL_MICROS = 500_000;
    private final LearntFile file;
    private final Supplier<Origin> origin;
    private final Balancer balancer;
    private final DecisionQueue queue;
    private final Counters counters;
    private final Consumer<Runnable> fileExecutor;
    private final BooleanSupplier saves;

    /**
     * @param origin origin of the state according to the settings in force; called at the start and on the decision
     *     thread
     * @param fileExecutor runs file access outside the decision thread
     * @param saves false once this process is stopping: the state is then saved by the next process
     */
    LearntStatePersistence(
            LearntFile file,
            Supplier<Origin> origin,
            Balancer balancer,
            DecisionQueue queue,
            Counters counters,
            Consumer<Runnable> fileExecutor,
            BooleanSupplier saves) {
        this.file = file;
        this.origin = origin;
        this.balancer = balancer;
        this.queue = queue;
        this.counters = counters;
        this.fileExecutor = fileExecutor;
        this.saves = saves;
    }

    void start() {
        restore();
        queue.post(this::save);
    }

    /** Restores the state that the previous process saved, if it is recent. */
    private void restore() {
        try {
            SaveTime now = SaveTime.now();
            LearntFile.Snapshot saved = file.read(origin.get(), now);
            if (saved != null) {
                long ageMicros = saved.ageMs(now) * 1000;
                Log.info(
                        "recalled",
                        "age_ms=" + ageMicros / 1000 + " servers="
                                + saved.learnt().servers().size());
                queue.post(() -> Handover.restore(balancer, saved.learnt(), queue.now(), ageMicros));
            }
        } catch (IOException e) {
            Log.warn("learnt-not-read", String.valueOf(e.getMessage()));
        }
    }

    private void save() {
        if (!saves.getAsBoolean()) {
            return;
        }
        LearntState state = Handover.export(balancer);
        Origin currentOrigin = origin.get();
        counters.checkInvariant(state.sane(), "the learnt state contains an invalid number");
        fileExecutor.accept(() -> {
            try {
                file.write(currentOrigin, state, SaveTime.now());
            } catch (IOException e) {
                Log.warn("learnt-not-written", String.valueOf(e.getMessage()));
            }
        });
        queue.schedule(SAVE_INTERVAL_MICROS, this::save);
    }
}
