package calicochute.lab.emulator;

import calicochute.lab.server.MachineSpec;
import calicochute.lab.server.ServerModel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/** A server's load report: taken now and then, seen late, and a little noisy. */
final class LoadReports {
    private final MachineSpec spec;
    private final UniformRandomProvider chance;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    private record Snapshot(long at, int inflight, long accepted) {}

    LoadReports(MachineSpec spec, UniformRandomProvider chance) {
        this.spec = spec;
        this.chance = chance;
    }

    void take(long now, ServerModel.Load load) {
        snapshots.addLast(new Snapshot(now, load.inflight(), load.accepted()));
        if (snapshots.size() > 4) {
            snapshots.pollFirst();
        }
    }

    /** As it is seen now. */
    String text(long now) {
        Snapshot seen = null;
        Snapshot before = null;
        for (Snapshot snapshot : snapshots) {
            if (snapshot.at <= now - spec.reportDelay()) {
                before = seen;
                seen = snapshot;
            }
        }
        double noise = 1 + 0.03 * (2 * chance.nextDouble() - 1);
        double rate =
                seen == null || before == null ? 0 : (seen.accepted - before.accepted) * 1e6 / (seen.at - before.at);
        return String.format(
                Locale.ROOT, "rif=%.0f,rate=%.2f", seen == null ? 0 : seen.inflight * noise, Math.max(0, rate * noise));
    }
}
