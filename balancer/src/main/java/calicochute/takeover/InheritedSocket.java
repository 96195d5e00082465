package calicochute.takeover;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket, where the platform holds it open and each process of the balancer inherits it. Java
 * gives access to an inherited socket on descriptor 0 only ({@link System#inheritedChannel}). Other processes use the
 * socket too, so it must never be shut down.
 */
public final class InheritedSocket {
    private static final String VARIABLE = "PROXY_INHERITED_FD";

    private InheritedSocket() {}

    /** The socket; null if the platform passes none. */
    public static ServerSocketChannel get() throws IOException {
        String descriptor = System.getenv(VARIABLE);
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new InheritedSocketException(
                    VARIABLE + " is '" + descriptor + "', but only descriptor 0 can be inherited");
        }
        // System.inheritedChannel redirects the standard streams to /dev/null; streams reopened before it keep working.
        PrintStream out = reopen(1, System.out);
        PrintStream err = reopen(2, System.err);
        Channel channel = System.inheritedChannel();
        System.setOut(out);
        System.setErr(err);
        if (channel instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new InheritedSocketException(VARIABLE + " is 0, but descriptor 0 is no listening socket");
    }

    /** Opens the descriptor's file again, to append: if it is a file, writing would otherwise begin at its start. */
    private static PrintStream reopen(int descriptor, PrintStream fallback) {
        try {
            return new PrintStream(new FileOutputStream("/proc/self/fd/" + descriptor, true), true);
        } catch (IOException e) {
            return fallback;
        }
    }
}
