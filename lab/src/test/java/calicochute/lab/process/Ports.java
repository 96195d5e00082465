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
 * Chooses ports for programs that bind them later. Guards against a port that is free when chosen but taken when the
 * program binds it, either as the ephemeral port of a connection or by another test run on the same machine. The tests
 * of the balancer module have the same class, which this module cannot use.
 */
final class Ports {
    private static final int LOWEST_PORT = 10_240;
    /** The file with the operating system's range of ephemeral ports. */
    private static final Path EPHEMERAL_RANGE_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    /** Where that range starts if the file is missing. */
    private static final int DEFAULT_EPHEMERAL_START = 32_768;
    /** With fewer ports than this below the range, the default start is used instead. */
    private static final int MIN_PORTS_BELOW = 1000;
    /**
     * A test run reserves a port by binding the UDP port of the same number for its lifetime; other runs check that.
     */
    private static final List<DatagramSocket> RESERVATIONS = new ArrayList<>();

    private static int nextOffset;

    private Ports() {}

    static synchronized int free() throws IOException {
        int count = ephemeralStart() - LOWEST_PORT;
        if (nextOffset == 0) {
            // Concurrent test runs start at different ports.
            nextOffset = (int) (ProcessHandle.current().pid() * 101 % count);
        }
        for (int attempts = 0; attempts < count; attempts++) {
            int port = LOWEST_PORT + nextOffset++ % count;
            if (isFree(port) && reserve(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + LOWEST_PORT + " on, of " + count);
    }

    /** The first ephemeral port; the default if it is not known or leaves too few ports below it. */
    private static int ephemeralStart() throws IOException {
        if (!Files.exists(EPHEMERAL_RANGE_FILE)) {
            return DEFAULT_EPHEMERAL_START;
        }
        try (InputStream in = Files.newInputStream(EPHEMERAL_RANGE_FILE)) {
            // One read call: this kind of file returns no more data after the first read, even of a single byte.
            byte[] text = new byte[100];
            int length = Math.max(0, in.read(text));
            int start = Integer.parseInt(new String(text, 0, length, StandardCharsets.US_ASCII)
                    .trim()
                    .split("\\s+")[0]);
            return start < LOWEST_PORT + MIN_PORTS_BELOW ? DEFAULT_EPHEMERAL_START : start;
        }
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
            return true;
        } catch (BindException e) {
            return false;
        }
    }

    private static boolean reserve(int port) throws IOException {
        try {
            RESERVATIONS.add(new DatagramSocket(port, InetAddress.getLoopbackAddress()));
            return true;
        } catch (BindException e) {
            return false;
        }
    }
}
