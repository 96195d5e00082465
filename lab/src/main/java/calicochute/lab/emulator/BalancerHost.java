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
 * One balancer as a real process: started by the command that the deployment names, from the folder it expects, with a
 * configuration file, the limits, and a log file of its own. Its CPU and memory are sampled from /proc.
 */
final class BalancerHost {
    private static final long POLL = 25_000;
    private static final long START_LIMIT = 30_000_000;
    private final Site site;
    private final BalancerSpec spec;
    private final Path folder;
    private final Emulation.Balancers launch;
    private final InetSocketAddress listen;
    private final List<Sample> samples = new CopyOnWriteArrayList<>();
    private volatile Process process;
    private boolean ready;
    private boolean ending;
    private boolean paused;
    private int starts;
    private Consumer<BalancerHost> onReady = b -> {};
    private Consumer<String> onCrash = reason -> {};
    private Runnable onEnded = () -> {};

    /** CPU seconds used since the run's first start, and resident memory in bytes. */
    record Sample(long at, double cpuSeconds, long resident) {}

    /** Writes its configuration; asked anew for each start. */
    interface Configurer {
        String configuration(BalancerSpec spec, InetSocketAddress listen, int start);
    }

    private final Configurer configurer;
    private final Function<BalancerSpec, Map<String, String>> environment;

    /** @param environment what its process gets beside the platform's own; asked anew for each start */
    BalancerHost(
            Site site,
            BalancerSpec spec,
            Path folder,
            Emulation.Balancers launch,
            Configurer configurer,
            Function<BalancerSpec, Map<String, String>> environment)
            throws IOException {
        this.site = site;
        this.spec = spec;
        this.folder = folder;
        this.launch = launch;
        this.configurer = configurer;
        this.environment = environment;
        listen = site.freeAddress();
    }

    BalancerSpec spec() {
        return spec;
    }

    InetSocketAddress address() {
        return listen;
    }

    boolean ready() {
        return ready;
    }

    List<Sample> samples() {
        return samples;
    }

    void listeners(Consumer<BalancerHost> readyAgain, Consumer<String> crashed) {
        onReady = readyAgain;
        onCrash = crashed;
    }

    /** Starts the process; {@code onReady} hears once /ready has said 200. On the world's thread. */
    void start() {
        starts++;
        ending = false;
        try {
            Path config = folder.resolve(spec.name() + ".json");
            Files.writeString(config, configurer.configuration(spec, listen, starts));
            ProcessBuilder builder = new ProcessBuilder(
                    "/bin/sh", "-c", "ulimit -n " + site.scenario.balancers().descriptors() + "\n" + launch.command());
            builder.directory(launch.folder().toFile());
            builder.environment().put("PROXY_NAME", spec.name());
            builder.environment().put("PROXY_LISTEN", Site.text(listen));
            builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
            builder.environment().putAll(environment.apply(spec));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(spec.name() + ".log").toFile()));
            site.ruleChecker.balancerStarted(spec.name());
            Process started = builder.start();
            process = started;
            started.onExit().thenAccept(p -> site.eventLoop.post(() -> ended(started)));
            long latest = site.eventLoop.now() + START_LIMIT;
            site.eventLoop.scheduleAfter(POLL, () -> poll(started, latest));
        } catch (IOException e) {
            onCrash.accept(spec.name() + " can't be started: " + e.getMessage());
        }
    }

    private void poll(Process of, long latest) {
        if (of != process || ready || ending) {
            return;
        }
        if (site.eventLoop.now() > latest) {
            onCrash.accept(spec.name() + " was not ready within " + START_LIMIT / 1_000_000 + " s; see its log");
            return;
        }
        site.sockets.connect(
                listen,
                POLL * 40,
                new Connection.Listener() {
                    private void again(Connection connection) {
                        connection.close();
                        site.eventLoop.scheduleAfter(POLL, () -> poll(of, latest));
                    }

                    @Override
                    public void message(Connection connection, HttpMessage message) {
                        if (message.status() == 200 && of == process && !ending) {
                            connection.close();
                            ready = true;
                            onReady.accept(BalancerHost.this);
                        } else {
                            again(connection);
                        }
                    }

                    @Override
                    public void malformed(Connection connection, String reason) {
                        again(connection);
                    }

                    @Override
                    public void closed(Connection connection, boolean reset, boolean midMessage) {
                        again(connection);
                    }
                },
                connection -> connection.write(HttpMessage.encode("GET /ready HTTP/1.1", "Host: a\r\n", new byte[0])),
                () -> site.eventLoop.scheduleAfter(POLL, () -> poll(of, latest)));
    }

    private void ended(Process which) {
        if (which != process) {
            return;
        }
        ready = false;
        if (ending) {
            onEnded.run();
        } else {
            onCrash.accept(spec.name() + " ended by itself with status " + which.exitValue() + "; see its log");
        }
    }

    /** SIGSTOP or SIGCONT: the process stands still, its connections stay as they are. */
    void pause(boolean on) {
        Process last = process;
        if (last == null || !last.isAlive() || on == paused) {
            return;
        }
        paused = on;
        site.ruleChecker.balancerPaused(site.eventLoop.now(), spec.name(), on);
        try {
            // Not waited for: the world's other timers would be late.
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(last.pid())).start();
        } catch (IOException e) {
            onCrash.accept(spec.name() + " can't be paused: " + e.getMessage());
        }
    }

    boolean paused() {
        return paused;
    }

    /** SIGTERM; {@code then} runs when the process has ended. */
    void stop(Runnable then) {
        pause(false);
        ending = true;
        onEnded = then;
        process.destroy();
    }

    /** SIGKILL; what it held is gone. */
    void kill(Runnable then) {
        paused = false;
        ending = true;
        ready = false;
        onEnded = then;
        site.ruleChecker.balancerKilled(spec.name());
        process.destroyForcibly();
    }

    /** From any thread: nothing of it is left behind. */
    void destroy() {
        Process last = process;
        if (last != null) {
            last.destroyForcibly();
        }
    }

    /** Reads CPU and memory of the process, if it runs. */
    void sample() {
        Process last = process;
        if (last == null || !last.isAlive()) {
            return;
        }
        try {
            ProcessUsage usage = ProcessUsage.of(last.pid());
            samples.add(new Sample(site.eventLoop.now(), usage.cpuSeconds(), usage.resident()));
        } catch (IOException e) {
            // It has just ended.
        }
    }

    /** The process that runs now. */
    long pid() {
        return process.pid();
    }

    Path log() {
        return folder.resolve(spec.name() + ".log");
    }
}
