package calicochute.metrics;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log on standard output: time, level, the event's name, details. The on-call page lists the events. Lines are
 * written by SLF4J's backend, as {@code simplelogger.properties} says.
 */
public final class Log {
    private static final Logger LOGGER = LoggerFactory.getLogger("calicochute");
    private static final FloodGuard GUARD = new FloodGuard();

    private Log() {}

    public static void info(String event, String details) {
        long leftOut = take(event);
        if (leftOut != FloodGuard.LEAVE_OUT) {
            LOGGER.info(line(event, details, leftOut));
        }
    }

    public static void warn(String event, String details) {
        long leftOut = take(event);
        if (leftOut != FloodGuard.LEAVE_OUT) {
            LOGGER.warn(line(event, details, leftOut));
        }
    }

    private static long take(String event) {
        long nowMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        synchronized (GUARD) {
            return GUARD.take(event, nowMicros);
        }
    }

    /** Details may hold what clients sent: a line break in them would begin a line that is no event. */
    private static String line(String event, String details, long leftOut) {
        String line = event + " " + details.replace('\n', ' ');
        return leftOut == 0 ? line : line + " (" + leftOut + " more of these before)";
    }
}
