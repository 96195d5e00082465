package calicochute.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * A platform that holds the clients' listening socket and starts versions of the program beside each other, with one
 * folder between them. Perl holds the socket, since Java can't pass one on as descriptor 0.
 */
final class Platform {
    private static final String HOLD = """
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
    private final Process holder;
    final int port;
    private int started;
    private final List<Long> pids = new ArrayList<>();

    Platform() throws Exception {
        folder = Files.createTempDirectory("calicochute-platform");
        Files.createDirectory(folder.resolve("tmp"));
        List<String> command = new ArrayList<>(List.of("perl", "-e", HOLD, folder.toString()));
        command.addAll(Program.command("serve", "--config"));
        holder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("holder").toFile())
                .start();
        Program.await("the socket is held", () -> Files.exists(folder.resolve("port")));
        port = Integer.parseInt(Files.readString(folder.resolve("port")));
    }

    Path shared() {
        return folder.resolve("tmp");
    }

    /** Starts one more; it serves when this returns. */
    int start(int admin, Peer discovery, Peer... servers) throws Exception {
        return start(UnaryOperator.identity(), admin, discovery, servers);
    }

    /** With a configuration changed before. */
    int start(UnaryOperator<String> edit, int admin, Peer discovery, Peer... servers) throws Exception {
        int n = started++;
        Files.writeString(
                folder.resolve("config" + n), edit.apply(Program.configuration(port, admin, 1024, discovery, servers)));
        Files.createFile(folder.resolve("start" + n));
        Program.await("it runs", () -> Files.exists(folder.resolve("pid" + n)));
        pids.add(Long.parseLong(Files.readString(folder.resolve("pid" + n))));
        Program.await(
                "it can serve", () -> Program.admin(admin, "GET health", "").status() == 200);
        return n;
    }

    void signal(int n, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, pids.get(n).toString())
                        .start()
                        .waitFor());
    }

    boolean ended(int n) {
        return Files.exists(folder.resolve("status" + pids.get(n)));
    }

    String log(int n) throws IOException {
        return Files.readString(folder.resolve("log" + n));
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(30_000);
        return socket;
    }

    Http send(String head) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(Http.message(head, new byte[0]));
            return Http.read(socket.getInputStream());
        }
    }

    void close() throws Exception {
        for (int n = 0; n < started; n++) {
            if (!ended(n)) {
                signal(n, "KILL");
            }
        }
        Files.createFile(folder.resolve("end"));
        holder.waitFor(30, TimeUnit.SECONDS);
    }
}
