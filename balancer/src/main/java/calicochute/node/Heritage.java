package calicochute.node;

import calicochute.decision.Balancer;
import calicochute.decision.Handover;
import calicochute.decision.LearntState;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.takeover.LearntFile;
import calicochute.takeover.Origin;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What the module has learnt, taken over from the process before this one and noted for the one after it. */
final class Heritage {
    private static final long NOTE_EVERY = 500_000;
    private final LearntFile learnt;
    private final Supplier<Origin> origin;
    private final Balancer balancer;
    private final DecisionQueue queue;
    private final Counters counters;
    private final Consumer<Runnable> files;
    private final BooleanSupplier stays;

    /**
     * @param origin as the settings in force say; on the decision thread, and at the start
     * @param files does work on files, off the decision thread
     * @param stays false once this process ends: it leaves noting to the next one
     */
    Heritage(
            LearntFile learnt,
            Supplier<Origin> origin,
            Balancer balancer,
            DecisionQueue queue,
            Counters counters,
            Consumer<Runnable> files,
            BooleanSupplier stays) {
        this.learnt = learnt;
        this.origin = origin;
        this.balancer = balancer;
        this.queue = queue;
        this.counters = counters;
        this.files = files;
        this.stays = stays;
    }

    void start() {
        recall();
        queue.post(this::note);
    }

    /** Takes over what the process before this one has learnt, if it is fresh. */
    private void recall() {
        try {
            LearntFile.Snapshot snapshot = learnt.read(origin.get(), System.currentTimeMillis());
            if (snapshot != null) {
                long age = (System.currentTimeMillis() - snapshot.atMs()) * 1000;
                Log.info(
                        "recalled",
                        "age_ms=" + age / 1000 + " servers="
                                + snapshot.learnt().servers().size());
                queue.post(() -> Handover.restore(balancer, snapshot.learnt(), queue.now(), age));
            }
        } catch (IOException e) {
            Log.warn("learnt-not-read", String.valueOf(e.getMessage()));
        }
    }

    private void note() {
        if (!stays.getAsBoolean()) {
            return;
        }
        LearntState now = Handover.export(balancer);
        Origin by = origin.get();
        counters.checkInvariant(now.sane(), "what the module has learnt is no number");
        files.accept(() -> {
            try {
                learnt.write(by, now, System.currentTimeMillis());
            } catch (IOException e) {
                Log.warn("learnt-not-written", String.valueOf(e.getMessage()));
            }
        });
        queue.schedule(NOTE_EVERY, this::note);
    }
}
