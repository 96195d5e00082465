package calicochute.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * What operators' staff read at the second address. Whoever decides a thing counts it here, once; any thread may count
 * and read. A session taken ends in exactly one of completed, rejected, failed and gone; until then it is pending.
 */
public final class Figures {
    /** How a session ended. */
    public enum End {
        COMPLETED,
        REJECTED,
        FAILED,
        GONE
    }

    private static final class Tally {
        private final LongAdder[] ends = {new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()};
    }

    /** By class name; a class that is dropped keeps its counts, which go on if it comes back. */
    private final Map<String, Tally> classes = new ConcurrentSkipListMap<>();

    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();
    private volatile int members;
    private volatile int unavailable;

    /** From now on the class has figures, at first 0. */
    public void listClass(String name) {
        classes.computeIfAbsent(name, n -> new Tally());
    }

    public void taken() {
        pending.incrementAndGet();
    }

    public void ended(String className, End end) {
        pending.decrementAndGet();
        classes.computeIfAbsent(className, n -> new Tally()).ends[end.ordinal()].increment();
    }

    /** A dispatch's last byte has been written. */
    public void dispatchWritten() {
        written.incrementAndGet();
    }

    public void reloaded(boolean taken) {
        (taken ? reloads : reloadErrors).incrementAndGet();
    }

    public void members(int listed, int avoided) {
        members = listed;
        unavailable = avoided;
    }

    /** One line a figure: name, colon, value, bar, {@code c} for a count and {@code g} for a level. */
    public String text() {
        StringBuilder text = new StringBuilder();
        classes.forEach((name, tally) -> {
            line(text, "completed." + name, tally.ends[End.COMPLETED.ordinal()].sum(), 'c');
            line(text, "rejected." + name, tally.ends[End.REJECTED.ordinal()].sum(), 'c');
            line(text, "failed." + name, tally.ends[End.FAILED.ordinal()].sum(), 'c');
        });
        line(text, "upstream_requests", written.get(), 'c');
        line(text, "pending", pending.get(), 'g');
        line(text, "members", members, 'g');
        line(text, "members_unavailable", unavailable, 'g');
        line(text, "config_reloads", reloads.get(), 'c');
        line(text, "config_reload_errors", reloadErrors.get(), 'c');
        return text.toString();
    }

    private static void line(StringBuilder to, String name, long value, char kind) {
        to.append("app.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
