import java.io.IOException;

/** Daemon threads for the stand-ins. A connection that ends is no error. */
final class Threads {
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException e) {
                        // The connection, or the case, has ended.
                    }
                },
                name,
                256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
