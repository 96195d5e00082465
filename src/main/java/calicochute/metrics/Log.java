package calicochute.metrics;

import java.time.Instant;

/** The log on standard output: time, level, the event's name, details. The on-call page lists the events. */
public final class Log {
    private Log() {
    }

    public static void info(String event, String details) {
        write("INFO", event, details);
    }

    public static void warn(String event, String details) {
        write("WARN", event, details);
    }

    private static void write(String level, String event, String details) {
        System.out.println(Instant.now() + " " + level + " " + event + " " + details.replace('\n', ' '));
    }
}
