package calicochute.lab.evenness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Crowding in a moment: the most balancers that sent to one server within a short time. */
public final class Herd {
    /** That time, in microseconds. */
    public static final long WITHIN = 100_000;

    private Herd() {}

    private static final class At {
        final Deque<Dispatch> recent = new ArrayDeque<>();
        final Map<Integer, Integer> balancers = new HashMap<>();
    }

    /** @param dispatches in the order of their times */
    public static int most(List<Dispatch> dispatches) {
        Map<Integer, At> servers = new HashMap<>();
        int most = 0;
        for (Dispatch d : dispatches) {
            At at = servers.computeIfAbsent(d.server(), s -> new At());
            at.recent.addLast(d);
            at.balancers.merge(d.balancer(), 1, Integer::sum);
            while (at.recent.peekFirst().at() <= d.at() - WITHIN) {
                at.balancers.computeIfPresent(at.recent.pollFirst().balancer(), (b, n) -> n == 1 ? null : n - 1);
            }
            most = Math.max(most, at.balancers.size());
        }
        return most;
    }
}
