package calicochute.lab.evenness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures herding: the most balancers that sent to one server within a short time. */
public final class ConcurrentSenders {
    /** The length of that time. */
    public static final long SPAN_MICROS = 100_000;

    private ConcurrentSenders() {}

    /** The dispatches to one server within the span, and the number of them from each balancer. */
    private static final class RecentDispatches {
        final Deque<Dispatch> recent = new ArrayDeque<>();
        final Map<Integer, Integer> balancers = new HashMap<>();
    }

    /**
     * Returns the largest number of balancers that sent to the same server within {@link #SPAN_MICROS}.
     *
     * @param dispatches in the order of their times
     */
    public static int max(List<Dispatch> dispatches) {
        Map<Integer, RecentDispatches> servers = new HashMap<>();
        int max = 0;
        for (Dispatch dispatch : dispatches) {
            RecentDispatches server = servers.computeIfAbsent(dispatch.server(), s -> new RecentDispatches());
            server.recent.addLast(dispatch);
            server.balancers.merge(dispatch.balancer(), 1, Integer::sum);
            while (server.recent.peekFirst().atMicros() <= dispatch.atMicros() - SPAN_MICROS) {
                server.balancers.computeIfPresent(
                        server.recent.pollFirst().balancer(), (b, n) -> n == 1 ? null : n - 1);
            }
            max = Math.max(max, server.balancers.size());
        }
        return max;
    }
}
