package calicochute.lab.emulator;

import calicochute.lab.server.MachineSpec;
import calicochute.lab.server.ServerModel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/** A server's load report: taken at intervals, visible after a delay, and with up to 3% of random error. */
final class LoadReports {
    private final MachineSpec spec;
    private final UniformRandomProvider random;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    private record Snapshot(long at, int inflight, long accepted) {}

    LoadReports(MachineSpec spec, UniformRandomProvider random) {
        this.spec = spec;
        this.random = random;
    }

    /** Takes a new report. */
    void take(long now, ServerModel.Load load) {
        snapshots.addLast(new Snapshot(now, load.inflight(), load.accepted()));
        if (snapshots.size() > 4) {
            snapshots.pollFirst();
        }
    }

    /** The report that is visible now, in the form of the answer to a probe. */
    String text(long now) {
        Snapshot visible = null;
        Snapshot previous = null;
        for (Snapshot snapshot : snapshots) {
            if (snapshot.at <= now - spec.reportDelay()) {
                previous = visible;
                visible = snapshot;
            }
        }
        double noise = 1 + 0.03 * (2 * random.nextDouble() - 1);
        double rate = visible == null || previous == null
                ? 0
                : (visible.accepted - previous.accepted) * 1e6 / (visible.at - previous.at);
        return String.format(
                Locale.ROOT,
                "rif=%.0f,rate=%.2f",
                visible == null ? 0 : visible.inflight * noise,
                Math.max(0, rate * noise));
    }
}
