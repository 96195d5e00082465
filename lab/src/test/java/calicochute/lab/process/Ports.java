package calicochute.lab.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports for programs that bind them later. Guards against one that was free when asked for and is taken when the
 * program binds it: by a connection, which the system gives any port of its own range, or by another test run on this
 * machine. As in the balancer's tests, which this module does not see.
 */
final class Ports {
    private static final int LOWEST = 10_240;
    /** Where the system's own range is told, and where it begins otherwise. */
    private static final Path RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    private static final int USUAL = 32_768;
    private static final int FEW = 1000;
    /** Test runs look here first: each holds the datagram port of the same number for as long as it lives. */
    private static final List<DatagramSocket> HELD = new ArrayList<>();

    private static int next;

    private Ports() {}

    static synchronized int free() throws IOException {
        int count = end() - LOWEST;
        if (next == 0) {
            // Runs that begin beside each other begin apart.
            next = (int) (ProcessHandle.current().pid() * 101 % count);
        }
        for (int tried = 0; tried < count; tried++) {
            int port = LOWEST + next++ % count;
            if (nobodyListens(port) && held(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + LOWEST + " on, of " + count);
    }

    /**
     * The first port that the system may give a connection; the usual one where it is not told, or leaves hardly any
     * below it.
     */
    private static int end() throws IOException {
        if (!Files.exists(RANGE)) {
            return USUAL;
        }
        try (InputStream in = Files.newInputStream(RANGE)) {
            // At one go: read byte by byte such a file ends behind the first.
            byte[] text = new byte[100];
            int length = Math.max(0, in.read(text));
            int told = Integer.parseInt(new String(text, 0, length, StandardCharsets.US_ASCII)
                    .trim()
                    .split("\\s+")[0]);
            return told < LOWEST + FEW ? USUAL : told;
        }
    }

    private static boolean nobodyListens(int port) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
            return true;
        } catch (BindException e) {
            return false;
        }
    }

    private static boolean held(int port) throws IOException {
        try {
            HELD.add(new DatagramSocket(port, InetAddress.getLoopbackAddress()));
            return true;
        } catch (BindException e) {
            return false;
        }
    }
}
