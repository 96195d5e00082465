package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One balancer's own counting. A dispatch counts in the window in which its session was ASSIGNED, and a window is told
 * only once all of its sessions have ended or passed their deadline: else quick failures would be heard before slow
 * successes, and a server that refuses at once would look worse than one that hangs.
 */
public final class Ledger {
    private static final int WINDOWS = 64;
    private final Windows windows;
    private final long longestDeadline;
    private final int subjects;
    private final int ahead;
    private final TreeMap<Long, Open> open = new TreeMap<>();
    private final TreeSet<Long> closed = new TreeSet<>();
    private final Counts counts = new Counts();

    private static final class Open {
        long sessions;
        final Map<Subject, Cell> cells = new HashMap<>();
    }

    private static final class Cell {
        final long[] ends = new long[End.values().length];
        double logs;
        double squares;
        long speeds;
    }

    /** Deadlines in microseconds from a session's beginning. */
    public Ledger(Windows windows, long longestDeadline) {
        this(windows, longestDeadline, Limits.USUAL);
    }

    public Ledger(Windows windows, long longestDeadline, Limits limits) {
        this.windows = windows;
        this.longestDeadline = longestDeadline;
        this.subjects = limits.subjects();
        this.ahead = limits.ahead();
    }

    /**
     * A session begins: the number of its window, for {@link #count} and {@link #over}. One that was told already stays
     * as it was, should the clock go back.
     */
    public long assign(long now) {
        long window = windows.number(now);
        while (closed.contains(window)) {
            window++;
        }
        open.computeIfAbsent(window, n -> new Open()).sessions++;
        return window;
    }

    /** A dispatch of a session of that window ended; a log speed of NaN: none. */
    public void count(long window, Subject subject, End end, double logSpeed) {
        Open of = open.get(window);
        if (of == null) {
            counts.add(Cause.LATE);
            return;
        }
        Cell cell = of.cells.get(subject);
        if (cell == null) {
            if (of.cells.size() >= subjects) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            cell = new Cell();
            of.cells.put(subject, cell);
        }
        cell.ends[end.ordinal()]++;
        if (!Double.isNaN(logSpeed)) {
            if (Math.abs(logSpeed) > Tally.GREATEST_LOG) {
                counts.add(Cause.OUT_OF_RANGE);
            }
            double log = Tally.exact(Math.max(-Tally.GREATEST_LOG, Math.min(Tally.GREATEST_LOG, logSpeed)));
            cell.logs += log;
            cell.squares += Tally.exact(log * log);
            cell.speeds++;
        }
    }

    /** A session of that window ended: none of its dispatches will be counted any more. */
    public void over(long window) {
        Open of = open.get(window);
        if (of == null) {
            return; // passed its deadline before
        }
        assert of.sessions > 0 : "more sessions over than begun";
        of.sessions = Math.max(0, of.sessions - 1);
    }

    /** The windows that are whole now; each once, none without a dispatch. */
    public List<Closed> close(long now) {
        List<Closed> whole = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Open>> i = open.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Open> next = i.next();
            long window = next.getKey();
            Open of = next.getValue();
            if (window > windows.number(now) + ahead) {
                counts.add(Cause.CLOCK_OFF); // this clock was put back: when that time comes again the outcomes are old
                i.remove();
                continue;
            }
            long end = windows.end(window);
            boolean over = now >= end && (of.sessions == 0 || now - end >= longestDeadline);
            if (!over && open.size() > WINDOWS) {
                counts.add(Cause.FORCED);
                over = true;
            }
            if (over) {
                i.remove();
                closed.add(window);
                if (closed.size() > 2 * WINDOWS) {
                    closed.pollFirst();
                }
                if (!of.cells.isEmpty()) {
                    Map<Subject, Tally> tallies = new HashMap<>();
                    of.cells.forEach((subject, cell) ->
                            tallies.put(subject, new Tally(cell.ends, cell.logs, cell.squares, cell.speeds)));
                    whole.add(new Closed(window, tallies));
                }
            }
        }
        return whole;
    }

    /** Windows not told yet. */
    public int open() {
        return open.size();
    }

    public Counts counts() {
        return counts;
    }
}
