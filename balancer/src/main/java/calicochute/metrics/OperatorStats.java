package calicochute.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * The statistics that operators read at {@code /admin/stats}. Thread-safe. Each event is counted once, by the code that
 * decides it. A session is pending from its start until it ends, in exactly one of the ways of {@link SessionEnd}.
 */
public final class OperatorStats {
    /** How a session ended. */
    public enum SessionEnd {
        COMPLETED,
        REJECTED,
        FAILED,
        /** The client went away; not reported. */
        GONE
    }

    private static final class ClassStats {
        private final LongAdder[] ends = {new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()};
    }

    /** By class name. A class that a reload removes keeps its counts, which continue if it is configured again. */
    private final Map<String, ClassStats> classes = new ConcurrentSkipListMap<>();

    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicLong dispatchesWritten = new AtomicLong();
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();
    private volatile int members;
    private volatile int unavailableMembers;

    /** Reports the class from now on, with counts of 0 until its first session ends. */
    public void addClass(String name) {
        classes.computeIfAbsent(name, n -> new ClassStats());
    }

    public void sessionStarted() {
        pending.incrementAndGet();
    }

    public void sessionEnded(String className, SessionEnd end) {
        pending.decrementAndGet();
        classes.computeIfAbsent(className, n -> new ClassStats())
                .ends[end.ordinal()]
                .increment();
    }

    /** Counts a dispatch whose last byte has been written. */
    public void dispatchWritten() {
        dispatchesWritten.incrementAndGet();
    }

    public void reloadEnded(boolean succeeded) {
        (succeeded ? reloads : reloadErrors).incrementAndGet();
    }

    /**
     * @param listed number of backend servers on discovery's list
     * @param unavailable how many of them discovery or an operator wants no requests sent to
     */
    public void setMembers(int listed, int unavailable) {
        members = listed;
        unavailableMembers = unavailable;
    }

    /** One StatsD line per statistic: name, colon, value, bar, {@code c} for a count and {@code g} for a gauge. */
    public String text() {
        StringBuilder text = new StringBuilder();
        classes.forEach((name, stats) -> {
            line(text, "completed." + name, stats.ends[SessionEnd.COMPLETED.ordinal()].sum(), 'c');
            line(text, "rejected." + name, stats.ends[SessionEnd.REJECTED.ordinal()].sum(), 'c');
            line(text, "failed." + name, stats.ends[SessionEnd.FAILED.ordinal()].sum(), 'c');
        });
        line(text, "upstream_requests", dispatchesWritten.get(), 'c');
        line(text, "pending", pending.get(), 'g');
        line(text, "members", members, 'g');
        line(text, "members_unavailable", unavailableMembers, 'g');
        line(text, "config_reloads", reloads.get(), 'c');
        line(text, "config_reload_errors", reloadErrors.get(), 'c');
        return text.toString();
    }

    private static void line(StringBuilder output, String name, long value, char type) {
        output.append("app.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
