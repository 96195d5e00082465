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

/** Runs one real balancer until it is told to stop. */
@Parameters(commandDescription = "Run one balancer on real sockets")
final class ServeCommand implements CommandLine.Command {
    @ParametersDelegate
    private final ConfigurationOption configuration = new ConfigurationOption();
    /** The file's text as it was taken last. */
    private Configuration running;

    @Override
    public void run() throws SettingsException, IOException, InterruptedException {
        Configuration told = configuration.read();
        Counters counters = new Counters();
        Node node = new Node(told, counters, InheritedSocket.get(), shared(told.name()));
        // Before the start: without a handler SIGHUP ends a Java program, and /ready may say 200 as soon as it listens.
        running = told;
        if (!Hangup.handle(() -> reload(node))) {
            Log.warn("hangup-ignored", "started with SIGHUP ignored (nohup?): new settings can't be taken over until a restart");
        }
        InetSocketAddress address = node.start();
        // Only now: a start that fails must end with its own status, not with that of a planned stop. And before anything else: from here on clients
        // may come, and a SIGTERM that finds no hook ends the process with what it has taken.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, counters), "drain"));
        Log.info("serving", "name=" + told.name() + " tier=" + told.settings().tier() + " address=" + address);
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

    /** On SIGTERM: everything taken is answered, the counters are printed, and the exit status is 0. */
    private static void stop(Node node, Counters counters) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.info("counters", counters.text().trim().replace('\n', ','));
        System.out.flush();
        Runtime.getRuntime().halt(0);
    }
}
