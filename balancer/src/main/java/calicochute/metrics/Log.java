package calicochute.metrics;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log on standard output. A line has the time, the level, the event's name and details; SLF4J's backend writes it
 * as {@code simplelogger.properties} says. The lines of one event are limited by {@link LogRateLimiter}.
 */
public final class Log {
    private static final Logger LOGGER = LoggerFactory.getLogger("calicochute");
    private static final LogRateLimiter LIMITER = new LogRateLimiter();

    private Log() {}

    public static void info(String event, String details) {
        long suppressed = acquire(event);
        if (suppressed != LogRateLimiter.SUPPRESSED) {
            LOGGER.info(line(event, details, suppressed));
        }
    }

    public static void warn(String event, String details) {
        long suppressed = acquire(event);
        if (suppressed != LogRateLimiter.SUPPRESSED) {
            LOGGER.warn(line(event, details, suppressed));
        }
    }

    private static long acquire(String event) {
        long nowMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        synchronized (LIMITER) {
            return LIMITER.acquire(event, nowMicros);
        }
    }

    /** Removes line breaks from the details, which may hold client input: a client could forge log lines with them. */
    private static String line(String event, String details, long suppressed) {
        String line = event + " " + details.replace('\n', ' ');
        return suppressed == 0 ? line : line + " (" + suppressed + " more of these before)";
    }
}
