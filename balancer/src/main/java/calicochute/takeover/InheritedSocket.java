package calicochute.takeover;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket where the platform holds it and every process inherits it. Java gives access to
 * descriptor 0 alone ({@link System#inheritedChannel}); it is never shut down here, since others hold it too.
 */
public final class InheritedSocket {
    private static final String VARIABLE = "PROXY_INHERITED_FD";

    private InheritedSocket() {}

    /** The socket, or null where the platform holds none. */
    public static ServerSocketChannel get() throws IOException {
        String descriptor = System.getenv(VARIABLE);
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new InheritedSocketException(
                    VARIABLE + " is '" + descriptor + "', but only descriptor 0 can be inherited");
        }
        // Java points the standard streams at /dev/null once it hands out the channel: opened anew before, they go on.
        PrintStream out = again(1, System.out);
        PrintStream err = again(2, System.err);
        Channel channel = System.inheritedChannel();
        System.setOut(out);
        System.setErr(err);
        if (channel instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new InheritedSocketException(VARIABLE + " is 0, but descriptor 0 is no listening socket");
    }

    /** Appending, since a file opened anew would be written from its start. */
    private static PrintStream again(int descriptor, PrintStream otherwise) {
        try {
            return new PrintStream(new FileOutputStream("/proc/self/fd/" + descriptor, true), true);
        } catch (IOException e) {
            return otherwise;
        }
    }
}
