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

/** Runs one real balancer until it is told to stop. */
@Parameters(commandDescription = "Run one balancer on real sockets")
final class ServeCommand implements CommandLine.Command {
    private static final long LAST_WORDS_MS = 200;

    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();
    /** The file's text as it was taken last. */
    private Configuration running;

    private final Object starting = new Object();
    private StartupState startup = StartupState.begun();

    @Override
    public void run() throws SettingsException, IOException, InterruptedException {
        Configuration told = configuration.read();
        Counters counters = new Counters();
        Node node = new Node(told, counters, InheritedSocket.get(), shared(told.name()));
        // Before the start: without a handler SIGHUP ends a Java program, and /ready may say 200 as soon as it listens.
        running = told;
        if (!HangupSignal.handle(() -> reload(node))) {
            Log.warn(
                    "hangup-ignored",
                    "started with SIGHUP ignored (nohup?): new settings can't be taken over until a restart");
        }
        // Before the start: from its listening on clients may come, and a SIGTERM that finds no hook ends the process
        // with what it has taken.
        Thread starter = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, counters, starter), "drain"));
        InetSocketAddress address;
        try {
            address = node.start();
            move(StartupState::started);
        } catch (Exception | Error e) {
            move(StartupState::failed);
            throw e;
        }
        Log.info("serving", "name=" + told.name() + " tier=" + told.settings().tier() + " address=" + address);
    }

    private void move(UnaryOperator<StartupState> event) {
        synchronized (starting) {
            startup = event.apply(startup);
            starting.notifyAll();
        }
    }

    /** What a stop has to do, once the start is over. */
    private StartupState.Step stopping() throws InterruptedException {
        synchronized (starting) {
            move(StartupState::stop);
            while (startup.step() == StartupState.Step.WAIT) {
                starting.wait();
            }
            return startup.step();
        }
    }

    /** The folder that outlives a process and is the balancer's own; none unless the platform names one. */
    private static SharedFolder shared(String balancer) {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() ? null : new SharedFolder(Path.of(folder), balancer);
    }

    /** On SIGHUP: the file is read anew, and taken whole or not at all. One at a time. */
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
     * On SIGTERM: everything taken is answered, the counters are printed, and the exit status is 0. A start that failed
     * ends with its own.
     */
    private void stop(Node node, Counters counters, Thread starter) {
        int status = CommandLine.DONE;
        try {
            // No switch: it has a class of its own, which is not there yet and may find no descriptor to be read with.
            StartupState.Step step = stopping();
            if (step == StartupState.Step.LEAVE) {
                return;
            }
            if (step == StartupState.Step.DRAIN) {
                node.drain();
            } else {
                // It still says why; its own end would wait for this one.
                starter.join(LAST_WORDS_MS);
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
