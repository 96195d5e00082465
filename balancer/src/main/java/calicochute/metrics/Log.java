package calicochute.metrics;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The log on standard output: time, level, the event's name, details. The on-call page lists the events. */
public final class Log {
    /** Guards against floods: writing a line costs more than refusing the request that it tells of. */
    private static final int LINES_A_SECOND = 10;
    private static final Map<String, Rate> RATES = new HashMap<>();

    private static final class Rate {
        long second;
        int lines;
        long skipped;
    }

    private Log() {
    }

    public static void info(String event, String details) {
        write("INFO", event, details);
    }

    public static void warn(String event, String details) {
        write("WARN", event, details);
    }

    private static void write(String level, String event, String details) {
        Instant now = Instant.now();
        String skipped = "";
        synchronized (RATES) {
            Rate rate = RATES.computeIfAbsent(event, e -> new Rate());
            if (rate.second != now.getEpochSecond()) {
                rate.second = now.getEpochSecond();
                rate.lines = 0;
            }
            if (++rate.lines > LINES_A_SECOND) {
                rate.skipped++;
                return;
            }
            if (rate.skipped > 0) {
                skipped = " (" + rate.skipped + " more of these before)";
                rate.skipped = 0;
            }
        }
        System.out.println(now + " " + level + " " + event + " " + details.replace('\n', ' ') + skipped);
    }
}
