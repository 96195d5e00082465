package calicochute.process;

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
 * Reserves TCP ports that a child process binds later. A port that is free when it is chosen could be taken before the
 * process binds it: by an outgoing connection, which gets any port of the ephemeral range, or by another test run on
 * the same machine.
 */
final class Ports {
    /** First port that is given out. */
    private static final int FIRST_PORT = 10_240;
    /** Contains the ephemeral port range on Linux. */
    private static final Path EPHEMERAL_RANGE_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    /** Default start of the ephemeral range on Linux. */
    private static final int DEFAULT_EPHEMERAL_START = 32_768;
    /** An ephemeral range that leaves fewer ports than this below it is ignored. */
    private static final int MIN_PORT_COUNT = 1000;
    /**
     * A port is reserved against other test runs by binding the UDP port of the same number until this process exits.
     */
    private static final List<DatagramSocket> RESERVATIONS = new ArrayList<>();

    private static int nextOffset;

    private Ports() {}

    static synchronized int free() throws IOException {
        int count = ephemeralStart() - FIRST_PORT;
        if (nextOffset == 0) {
            // Concurrent test runs start at different offsets.
            nextOffset = (int) (ProcessHandle.current().pid() * 101 % count);
        }
        for (int attempt = 0; attempt < count; attempt++) {
            int port = FIRST_PORT + nextOffset++ % count;
            if (hasNoListener(port) && reserve(port)) {
                return port;
            }
        }
        throw new IOException("no free port among the " + count + " ports from " + FIRST_PORT);
    }

    /**
     * Returns the first port of the ephemeral range, or its default if the range is unknown or leaves too few ports
     * below it.
     */
    private static int ephemeralStart() throws IOException {
        if (!Files.exists(EPHEMERAL_RANGE_FILE)) {
            return DEFAULT_EPHEMERAL_START;
        }
        try (InputStream input = Files.newInputStream(EPHEMERAL_RANGE_FILE)) {
            // One read for the whole file: this file ends after the first byte if it is read byte by byte.
            byte[] text = new byte[100];
            int length = Math.max(0, input.read(text));
            int start = Integer.parseInt(new String(text, 0, length, StandardCharsets.US_ASCII)
                    .trim()
                    .split("\\s+")[0]);
            return start < FIRST_PORT + MIN_PORT_COUNT ? DEFAULT_EPHEMERAL_START : start;
        }
    }

    private static boolean hasNoListener(int port) throws IOException {
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
