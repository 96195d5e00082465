package calicochute.lab.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections are never established: its accept queue is kept full, so the operating system drops
 * every further SYN, as if no host were at the address.
 */
public final class Blackhole implements AutoCloseable {
    /** On Linux a backlog of one holds two connections; a third one stays half-open and does no harm. */
    private static final int FILLER_CONNECTIONS = 3;

    private final ServerSocket listener = new ServerSocket();
    private final List<SocketChannel> fillers = new ArrayList<>();

    public Blackhole(InetSocketAddress address) throws IOException {
        listener.setReuseAddress(true);
        bind(address);
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.setOption(StandardSocketOptions.SO_LINGER, 0);
            filler.connect(address);
            fillers.add(filler);
        }
    }

    /** Binds with retries, since the previous listener of the address may still be closing. */
    private void bind(InetSocketAddress address) throws IOException {
        for (int i = 0; !listener.isBound(); i++) {
            try {
                listener.bind(address, 1);
            } catch (IOException exception) {
                if (i >= Sockets.LISTEN_ATTEMPTS) {
                    throw exception;
                }
                Sockets.pauseBeforeRetry();
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
        } catch (IOException exception) {
            // The sockets carry no data, so a failure to close one loses nothing.
        }
    }
}
