package calicochute.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * A process supervisor that holds the listening socket and starts balancer processes that share it, together with one
 * folder. The socket is held by a Perl script, because Java cannot pass a socket to a child as descriptor 0.
 */
final class Supervisor {
    private static final String PERL_SCRIPT = """
        use Socket; my ($dir, @command) = @ARGV;
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
        listen($s, 128) or die; open(STDIN, "<&", $s) or die;
        my ($port) = sockaddr_in(getsockname($s));
        open(my $p, ">", "$dir/port.new") or die; print $p $port; close $p; rename("$dir/port.new", "$dir/port");
        $ENV{PROXY_INHERITED_FD} = "0"; $ENV{TMPDIR} = "$dir/tmp";
        my $started = 0;
        while (!-e "$dir/end") {
            if (-e "$dir/start$started") {
                my $n = $started++;
                my $pid = fork();
                if ($pid == 0) {
                    open(STDOUT, ">", "$dir/log$n"); open(STDERR, ">&", STDOUT);
                    exec(@command, "$dir/config$n");
                }
                open(my $f, ">", "$dir/pid.new"); print $f $pid; close $f; rename("$dir/pid.new", "$dir/pid$n");
            }
            while ((my $ended = waitpid(-1, 1)) > 0) {
                open(my $f, ">", "$dir/status$ended"); print $f $?; close $f;
            }
            select(undef, undef, undef, 0.01);
        }
        """;
    private final Path folder;
    private final Process perl;
    final int port;
    private int startedCount;
    private final List<Long> pids = new ArrayList<>();

    Supervisor() throws Exception {
        this("");
    }

    /** With JVM flags for all processes. */
    Supervisor(String jvmFlags) throws Exception {
        this(jvmFlags.isEmpty() ? Map.of() : Map.of("JAVA_TOOL_OPTIONS", jvmFlags));
    }

    /** With environment variables for all processes. */
    Supervisor(Map<String, String> environment) throws Exception {
        folder = Files.createTempDirectory("calicochute-platform");
        Files.createDirectory(folder.resolve("tmp"));
        List<String> command = new ArrayList<>(List.of("perl", "-e", PERL_SCRIPT, folder.toString()));
        command.addAll(BalancerProcess.command("serve", "--config"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("holder").toFile());
        builder.environment().putAll(environment);
        perl = builder.start();
        BalancerProcess.await("the listening socket", () -> Files.exists(folder.resolve("port")));
        port = Integer.parseInt(Files.readString(folder.resolve("port")));
    }

    /** The folder that the processes share. */
    Path sharedFolder() {
        return folder.resolve("tmp");
    }

    /** Starts one more process and waits until it is healthy; returns its index. */
    int start(int adminPort, ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        return start(UnaryOperator.identity(), adminPort, discovery, servers);
    }

    /** As above, with an edited configuration. */
    int start(UnaryOperator<String> edit, int adminPort, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        int instance = startedCount++;
        Files.writeString(
                folder.resolve("config" + instance),
                edit.apply(BalancerProcess.configuration(port, adminPort, 1024, discovery, servers)));
        Files.createFile(folder.resolve("start" + instance));
        BalancerProcess.await("the process has started", () -> Files.exists(folder.resolve("pid" + instance)));
        pids.add(Long.parseLong(Files.readString(folder.resolve("pid" + instance))));
        BalancerProcess.await(
                "the process is healthy",
                () -> BalancerProcess.callAdmin(adminPort, "GET health", "").status() == 200);
        return instance;
    }

    /** Edits the configuration of a process and has it read again. */
    void reload(int instance, UnaryOperator<String> edit) throws Exception {
        Path config = folder.resolve("config" + instance);
        Files.writeString(config, edit.apply(Files.readString(config)));
        signal(instance, "HUP");
    }

    void signal(int instance, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, pids.get(instance).toString())
                        .start()
                        .waitFor());
    }

    long pid(int instance) {
        return pids.get(instance);
    }

    boolean hasExited(int instance) {
        return Files.exists(folder.resolve("status" + pids.get(instance)));
    }

    String log(int instance) throws IOException {
        return Files.readString(folder.resolve("log" + instance));
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(30_000);
        return socket;
    }

    HttpMessage send(String head) throws IOException {
        return send(head, new byte[0]);
    }

    HttpMessage send(String head, byte[] body) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(HttpMessage.encode(head, body));
            return HttpMessage.read(socket.getInputStream());
        }
    }

    void close() throws Exception {
        for (int i = 0; i < startedCount; i++) {
            if (!hasExited(i)) {
                signal(i, "KILL");
            }
        }
        Files.createFile(folder.resolve("end"));
        perl.waitFor(30, TimeUnit.SECONDS);
    }
}
