package calicochute.outcomes;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Counts one balancer's own dispatches by window. A dispatch counts in the window in which its session began, and a
 * window is closed only once all of its sessions have ended or passed their deadline. Otherwise fast failures would be
 * reported before slow successes, and a server that refuses at once would look worse than one that hangs.
 */
public final class WindowCounter {
    private static final int MAX_OPEN_WINDOWS = 64;
    private final Windows windows;
    private final long longestDeadlineMicros;
    private final int maxKeys;
    private final int maxWindowsAhead;
    private final TreeMap<Long, OpenWindow> open = new TreeMap<>();
    private final TreeSet<Long> closed = new TreeSet<>();
    private final DropCounts counts = new DropCounts();

    private static final class OpenWindow {
        long sessions;
        final Map<OutcomeKey, Cell> cells = new HashMap<>();
    }

    /** A tally under construction. */
    private static final class Cell {
        final long[] counts = new long[DispatchResult.values().length];
        double logSpeedSum;
        double logSpeedSquareSum;
        long speedSamples;
    }

    /** @param longestDeadlineMicros the longest deadline of any class, in microseconds from a session's beginning */
    public WindowCounter(Windows windows, long longestDeadlineMicros) {
        this(windows, longestDeadlineMicros, Limits.DEFAULT);
    }

    public WindowCounter(Windows windows, long longestDeadlineMicros, Limits limits) {
        this.windows = windows;
        this.longestDeadlineMicros = longestDeadlineMicros;
        this.maxKeys = limits.maxKeys();
        this.maxWindowsAhead = limits.maxWindowsAhead();
    }

    /**
     * Begins a session and returns the number of its window, for {@link #record} and {@link #endSession}. If the clock
     * goes back into a closed window, the session counts in a later one, since a closed window never changes.
     */
    public long beginSession(long now) {
        long window = windows.number(now);
        while (closed.contains(window)) {
            window++;
        }
        open.computeIfAbsent(window, n -> new OpenWindow()).sessions++;
        return window;
    }

    /** Counts a dispatch that ended, of a session of that window. A log speed of NaN means that none was measured. */
    public void record(long window, OutcomeKey key, DispatchResult result, double logSpeed) {
        OpenWindow counted = open.get(window);
        if (counted == null) {
            counts.add(Cause.LATE);
            return;
        }
        Cell cell = counted.cells.get(key);
        if (cell == null) {
            if (counted.cells.size() >= maxKeys) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            cell = new Cell();
            counted.cells.put(key, cell);
        }
        cell.counts[result.ordinal()]++;
        if (!Double.isNaN(logSpeed)) {
            if (Math.abs(logSpeed) > Tally.MAX_LOG_SPEED) {
                counts.add(Cause.OUT_OF_RANGE);
            }
            double log = Tally.quantize(Math.max(-Tally.MAX_LOG_SPEED, Math.min(Tally.MAX_LOG_SPEED, logSpeed)));
            cell.logSpeedSum += log;
            cell.logSpeedSquareSum += Tally.quantize(log * log);
            cell.speedSamples++;
        }
    }

    /** Ends a session of that window: no more of its dispatches will be counted. */
    public void endSession(long window) {
        OpenWindow counted = open.get(window);
        if (counted == null) {
            return; // the window was closed at the deadline
        }
        assert counted.sessions > 0 : "more sessions ended than began";
        counted.sessions = Math.max(0, counted.sessions - 1);
    }

    /** Closes and returns the windows that are complete; each is returned once, and none without a dispatch. */
    public List<ClosedWindow> close(long now) {
        List<ClosedWindow> complete = new ArrayList<>();
        for (Iterator<Map.Entry<Long, OpenWindow>> i = open.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, OpenWindow> next = i.next();
            long window = next.getKey();
            OpenWindow counted = next.getValue();
            if (window > windows.number(now) + maxWindowsAhead) {
                // The clock was set back: by the time the window comes again, these outcomes are out of date.
                counts.add(Cause.CLOCK_OFF);
                i.remove();
                continue;
            }
            long end = windows.end(window);
            boolean over = now >= end && (counted.sessions == 0 || now - end >= longestDeadlineMicros);
            if (!over && open.size() > MAX_OPEN_WINDOWS) {
                counts.add(Cause.FORCED);
                over = true;
            }
            if (over) {
                i.remove();
                closed.add(window);
                if (closed.size() > 2 * MAX_OPEN_WINDOWS) {
                    closed.pollFirst();
                }
                if (!counted.cells.isEmpty()) {
                    Map<OutcomeKey, Tally> tallies = new HashMap<>();
                    counted.cells.forEach((key, cell) -> tallies.put(
                            key, new Tally(cell.counts, cell.logSpeedSum, cell.logSpeedSquareSum, cell.speedSamples)));
                    complete.add(new ClosedWindow(window, tallies));
                }
            }
        }
        return complete;
    }

    /** The number of windows that are not closed yet. */
    public int openWindows() {
        return open.size();
    }

    public DropCounts counts() {
        return counts;
    }
}
