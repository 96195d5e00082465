package calicochute.cli;

import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.node.Node;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import calicochute.takeover.InheritedSocket;
import calicochute.takeover.SharedFolder;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

/** Runs a balancer until SIGTERM; SIGHUP reloads the configuration. */
@Parameters(commandDescription = "Run one balancer on real sockets")
final class ServeCommand implements CommandLine.Command {
    /** How long a stop waits for a failed start to print its error message. */
    private static final long ERROR_MESSAGE_TIMEOUT_MS = 200;

    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();
    /** The configuration that was last read successfully. */
    private Configuration running;

    private final Object startupLock = new Object();
    private StartupState startup = StartupState.starting();

    @Override
    public void run() throws SettingsException, IOException, InterruptedException {
        Configuration config = configuration.read();
        Counters counters = new Counters();
        Node node = new Node(config, counters, InheritedSocket.get(), sharedFolder(config.name()));
        running = config;
        // Installed before the start: without a handler SIGHUP ends a Java program, and /ready may answer 200 as soon
        // as the process listens.
        if (!HangupSignal.handle(() -> reload(node))) {
            Log.warn(
                    "hangup-ignored",
                    "started with SIGHUP ignored (by nohup?): settings cannot be reloaded without a restart");
        }
        // Added before the start: clients may connect as soon as the process listens, and without the hook a SIGTERM
        // would end the process with their sessions unanswered.
        Thread starter = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, counters, starter), "drain"));
        InetSocketAddress address;
        try {
            address = node.start();
            advance(StartupState::started);
        } catch (Exception | Error e) {
            advance(StartupState::failed);
            throw e;
        }
        Log.info(
                "serving",
                "name=" + config.name() + " tier=" + config.settings().tier() + " address=" + address);
    }

    /** Applies an event to the state of the start and wakes up a stop that waits for it. */
    private void advance(UnaryOperator<StartupState> event) {
        synchronized (startupLock) {
            startup = event.apply(startup);
            startupLock.notifyAll();
        }
    }

    /** Waits until the start is over and returns what the shutdown hook has to do. */
    private StartupState.Step awaitStop() throws InterruptedException {
        synchronized (startupLock) {
            advance(StartupState::stop);
            while (startup.step() == StartupState.Step.WAIT) {
                startupLock.wait();
            }
            return startup.step();
        }
    }

    /** The folder that the balancer's processes share; null unless the platform names one. */
    private static SharedFolder sharedFolder(String balancer) {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() ? null : new SharedFolder(Path.of(folder), balancer);
    }

    /**
     * Handles SIGHUP: reads the file again and applies all of it or, if it is invalid, nothing. One reload at a time.
     */
    private synchronized void reload(Node node) {
        try {
            Configuration next = configuration.readNext(running);
            node.reload(next);
            running = next;
        } catch (SettingsException e) {
            node.reloadFailed(e.getMessage());
        }
    }

    /**
     * The shutdown hook, which runs on SIGTERM: answers all sessions, logs the counters and exits with status 0. If the
     * start has failed, the exit status is that of the failure.
     */
    private void stop(Node node, Counters counters, Thread starter) {
        int status = CommandLine.DONE;
        try {
            // No switch statement: the compiler generates a class for it, and loading that class here fails if the
            // process has no file descriptor left.
            StartupState.Step step = awaitStop();
            if (step == StartupState.Step.RETURN) {
                return;
            }
            if (step == StartupState.Step.DRAIN) {
                node.drain();
            } else {
                // The starting thread still prints why it failed. Its System.exit waits for this hook and so sets no
                // status.
                starter.join(ERROR_MESSAGE_TIMEOUT_MS);
                status = CommandLine.FAILED;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.info("counters", counters.text().trim().replace('\n', ','));
        System.out.flush();
        Runtime.getRuntime().halt(status);
    }
}
