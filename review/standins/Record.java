import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line an event, with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private final long startedNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startedNanos) / 1e9) + text);
    }

    /** A line that is shown on standard output too. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
