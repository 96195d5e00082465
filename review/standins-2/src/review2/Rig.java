package review2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, the processes that were started, and the verdict. */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long STARTED_NANOS = System.nanoTime();
    private static final int MAX_SECONDS = 115;
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static BufferedWriter record;
    static Path folder;

    private Rig() {}

    /** A case: returns what broke the rule, or null if the rule held; an exception means that it could not run. */
    interface Case {
        String run() throws Exception;
    }

    /** Runs a case and exits: 1 the rule was broken, 0 it held, 2 the case could not run. */
    static void run(String[] arguments, Case test) throws IOException {
        record = Files.newBufferedWriter(Path.of(arguments[0]));
        folder = Files.createTempDirectory("review2-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
        Thread limit = new Thread(() -> {
            sleep(MAX_SECONDS * 1000L);
            end("could not run: over " + MAX_SECONDS + " s", 2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            say("trouble=" + TROUBLE);
            String broken = test.run();
            end(broken == null ? "HELD" : "BROKEN: " + broken, broken == null ? 0 : 1);
        } catch (Throwable e) {
            end("could not run: " + e, 2);
        }
    }

    private static synchronized void end(String verdict, int status) {
        say(verdict);
        System.out.println(verdict);
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        try {
            for (Process process : PROCESSES) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            record.close();
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException | InterruptedException e) {
            System.out.println(e);
        }
        Runtime.getRuntime().halt(status);
    }

    static double seconds() {
        return (System.nanoTime() - STARTED_NANOS) / 1e9;
    }

    static void say(String line) {
        synchronized (record) {
            try {
                record.write(String.format(Locale.ROOT, "%9.4f %s%n", seconds(), line));
                record.flush();
            } catch (IOException e) {
                // The record is closed: the case has ended.
            }
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void started(Process process) {
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }
}
