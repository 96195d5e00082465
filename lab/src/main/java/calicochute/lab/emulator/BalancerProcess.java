package calicochute.lab.emulator;

import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * One balancer as a real process, started by the command that the deployment names and in the folder that it expects.
 * The process has a configuration file and a log file of its own, and a limit of file descriptors. Its CPU time and
 * memory are sampled from /proc.
 */
final class BalancerProcess {
    private static final long READY_POLL_MICROS = 25_000;
    private static final long START_TIMEOUT_MICROS = 30_000_000;
    private final EmulationContext context;
    private final BalancerSpec spec;
    private final Path folder;
    private final Emulation.BalancerCommand command;
    private final InetSocketAddress address;
    private final List<Sample> samples = new CopyOnWriteArrayList<>();
    private volatile Process process;
    private boolean ready;
    private boolean stopping;
    private boolean paused;
    private int startCount;
    private Consumer<BalancerProcess> onReady = balancer -> {};
    private Consumer<String> onFailure = reason -> {};
    private Runnable onEnded = () -> {};

    /**
     * CPU time that the present process has used since its start, and its resident memory, at a Unix time in
     * microseconds.
     */
    record Sample(long at, double cpuSeconds, long residentBytes) {}

    /** Makes the configuration file's text; called for each start, which counts from 1. */
    interface Configurer {
        String configuration(BalancerSpec spec, InetSocketAddress address, int startNumber);
    }

    private final Configurer configurer;
    private final Function<BalancerSpec, Map<String, String>> environment;

    /** @param environment gives additional environment variables; called for each start */
    BalancerProcess(
            EmulationContext context,
            BalancerSpec spec,
            Path folder,
            Emulation.BalancerCommand command,
            Configurer configurer,
            Function<BalancerSpec, Map<String, String>> environment)
            throws IOException {
        this.context = context;
        this.spec = spec;
        this.folder = folder;
        this.command = command;
        this.configurer = configurer;
        this.environment = environment;
        address = context.freeAddress();
    }

    BalancerSpec spec() {
        return spec;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean ready() {
        return ready;
    }

    List<Sample> samples() {
        return samples;
    }

    /** Sets what is called when the process is ready, and with the reason when it fails or cannot be started. */
    void setListeners(Consumer<BalancerProcess> readyListener, Consumer<String> failureListener) {
        onReady = readyListener;
        onFailure = failureListener;
    }

    /** Starts the process; the ready listener is called once /ready responds 200. Called on the event loop's thread. */
    void start() {
        startCount++;
        stopping = false;
        try {
            Path config = folder.resolve(spec.name() + ".json");
            Files.writeString(config, configurer.configuration(spec, address, startCount));
            ProcessBuilder builder = new ProcessBuilder(
                    "/bin/sh",
                    "-c",
                    "ulimit -n " + context.scenario.balancers().descriptors() + "\n" + command.shellCommand());
            builder.directory(command.folder().toFile());
            builder.environment().put("PROXY_NAME", spec.name());
            builder.environment().put("PROXY_LISTEN", EmulationContext.hostPort(address));
            builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
            builder.environment().putAll(environment.apply(spec));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(spec.name() + ".log").toFile()));
            context.ruleChecker.balancerStarted(spec.name());
            Process started = builder.start();
            process = started;
            started.onExit().thenAccept(exited -> context.eventLoop.post(() -> processEnded(started)));
            long deadline = context.eventLoop.now() + START_TIMEOUT_MICROS;
            context.eventLoop.scheduleAfter(READY_POLL_MICROS, () -> pollReady(started, deadline));
        } catch (IOException e) {
            onFailure.accept(spec.name() + " can't be started: " + e.getMessage());
        }
    }

    private void pollReady(Process started, long deadline) {
        if (started != process || ready || stopping) {
            return;
        }
        if (context.eventLoop.now() > deadline) {
            onFailure.accept(
                    spec.name() + " was not ready within " + START_TIMEOUT_MICROS / 1_000_000 + " s; see its log");
            return;
        }
        context.sockets.connect(
                address,
                READY_POLL_MICROS * 40,
                new Connection.Listener() {
                    private void retry(Connection connection) {
                        connection.close();
                        context.eventLoop.scheduleAfter(READY_POLL_MICROS, () -> pollReady(started, deadline));
                    }

                    @Override
                    public void message(Connection connection, HttpMessage message) {
                        if (message.status() == 200 && started == process && !stopping) {
                            connection.close();
                            ready = true;
                            onReady.accept(BalancerProcess.this);
                        } else {
                            retry(connection);
                        }
                    }

                    @Override
                    public void malformed(Connection connection, String reason) {
                        retry(connection);
                    }

                    @Override
                    public void closed(Connection connection, boolean reset, boolean midMessage) {
                        retry(connection);
                    }
                },
                connection -> connection.write(HttpMessage.encode("GET /ready HTTP/1.1", "Host: a\r\n", new byte[0])),
                () -> context.eventLoop.scheduleAfter(READY_POLL_MICROS, () -> pollReady(started, deadline)));
    }

    private void processEnded(Process exited) {
        if (exited != process) {
            return;
        }
        ready = false;
        if (stopping) {
            onEnded.run();
        } else {
            onFailure.accept(spec.name() + " ended by itself with status " + exited.exitValue() + "; see its log");
        }
    }

    /** Stops the process with SIGSTOP or continues it with SIGCONT; its connections stay open. */
    void setPaused(boolean pause) {
        Process current = process;
        if (current == null || !current.isAlive() || pause == paused) {
            return;
        }
        paused = pause;
        context.ruleChecker.balancerPaused(context.eventLoop.now(), spec.name(), pause);
        try {
            // Does not wait for the command, which would delay other timers.
            new ProcessBuilder("kill", pause ? "-STOP" : "-CONT", Long.toString(current.pid())).start();
        } catch (IOException e) {
            onFailure.accept(spec.name() + " can't be paused: " + e.getMessage());
        }
    }

    boolean paused() {
        return paused;
    }

    /** Sends SIGTERM; {@code onStopped} runs when the process has ended. */
    void stop(Runnable onStopped) {
        setPaused(false);
        stopping = true;
        onEnded = onStopped;
        process.destroy();
    }

    /** Sends SIGKILL; {@code onStopped} runs when the process has ended. */
    void kill(Runnable onStopped) {
        paused = false;
        stopping = true;
        ready = false;
        onEnded = onStopped;
        context.ruleChecker.balancerKilled(spec.name());
        process.destroyForcibly();
    }

    /** Kills the process if there is one; may be called from any thread. */
    void destroy() {
        Process current = process;
        if (current != null) {
            current.destroyForcibly();
        }
    }

    /** Takes a sample of CPU time and memory, if the process runs. */
    void sample() {
        Process current = process;
        if (current == null || !current.isAlive()) {
            return;
        }
        try {
            ProcessUsage usage = ProcessUsage.of(current.pid());
            samples.add(new Sample(context.eventLoop.now(), usage.cpuSeconds(), usage.residentBytes()));
        } catch (IOException e) {
            // The process has just ended.
        }
    }

    /** The process id of the last start. */
    long pid() {
        return process.pid();
    }

    Path log() {
        return folder.resolve(spec.name() + ".log");
    }
}
