package calicochute.lab.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections never come up: its queue of connections not yet accepted is kept full, so the system
 * drops every further request for one, as a network does on whose other side nobody is.
 */
public final class Blackhole implements AutoCloseable {
    /** A backlog of one holds two connections on Linux; more fillers than that stay half-open and do no harm. */
    private static final int FILLERS = 3;

    private final ServerSocket listener = new ServerSocket();
    private final List<SocketChannel> fillers = new ArrayList<>();

    public Blackhole(InetSocketAddress address) throws IOException {
        listener.setReuseAddress(true);
        bind(address);
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.setOption(StandardSocketOptions.SO_LINGER, 0);
            filler.connect(address);
            fillers.add(filler);
        }
    }

    /** The address's former listener may need a moment to end. */
    private void bind(InetSocketAddress address) throws IOException {
        for (int i = 0; !listener.isBound(); i++) {
            try {
                listener.bind(address, 1);
            } catch (IOException e) {
                if (i >= Sockets.LISTEN_TRIES) {
                    throw e;
                }
                Sockets.pause();
            }
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (SocketChannel filler : fillers) {
                filler.close();
            }
        } catch (IOException e) {
            // Sockets that were only there to be in the way.
        }
    }
}
