package calicochute.lifecycle;

import calicochute.metrics.Log;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadFactory;

/**
 * Creates the threads without which a process does not serve: those that accept connections and those that do their
 * I/O. Such a thread cannot be replaced, since the state of its connections is lost with it. If one ends before
 * {@link #expectEnd}, by an error or otherwise, the process exits so that the platform starts it again, rather than
 * accept connections that nobody reads.
 */
public final class ServingThreads implements ThreadFactory {
    /** Exit status of a process that lost such a thread: that of a command that failed. */
    private static final int EXIT_STATUS = 1;
    /** Encoded in advance, for an exit without memory to log anything else. */
    private static final byte[] NO_MEMORY_LINE =
            "WARN thread-lost without memory; the process exits, as it cannot serve\n"
                    .getBytes(StandardCharsets.US_ASCII);

    /** Is told of a thread that ended unexpectedly, on that thread. */
    interface EndListener {
        /** @param cause what the thread's task threw; null if it returned */
        void threadEnded(String name, Throwable cause);
    }

    private final String name;
    private final boolean daemon;
    private final EndListener onUnexpectedEnd;
    private volatile boolean endExpected;

    /** Threads whose unexpected end exits the process. */
    public ServingThreads(String name, boolean daemon) {
        this(name, daemon, ServingThreads::exit);
    }

    /** Threads whose unexpected end is reported. */
    ServingThreads(String name, boolean daemon, EndListener onUnexpectedEnd) {
        this.name = name;
        this.daemon = daemon;
        this.onUnexpectedEnd = onUnexpectedEnd;
    }

    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(() -> run(task), name);
        thread.setDaemon(daemon);
        return thread;
    }

    private void run(Runnable task) {
        Throwable cause = null;
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            cause = e;
            throw e;
        } finally {
            if (!endExpected) {
                onUnexpectedEnd.threadEnded(name, cause);
            }
        }
    }

    /** From now on the threads may end: what they serve is being closed. */
    public void expectEnd() {
        endExpected = true;
    }

    /** Exits without the shutdown hooks: they would wait for answers that can no longer be written. */
    private static void exit(String name, Throwable cause) {
        try {
            Log.warn("thread-lost", "thread=" + name + " cause=" + cause + "; the process exits, as it cannot serve");
        } catch (OutOfMemoryError e) {
            System.out.write(NO_MEMORY_LINE, 0, NO_MEMORY_LINE.length);
        } finally {
            System.out.flush();
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
