package calicochute.frontend;

import calicochute.metrics.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ChannelBridge;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;

/**
 * Accepts at a socket that was listening before this process began and will be after it. It is never closed or shut down
 * here: other processes accept at it too, so a connection may be gone before this one gets to it.
 */
final class InheritedListening implements Listening {
    private static final long PAUSE_MS = 50;
    private final ServerSocketChannel socket;
    private final DefaultConnectingIOReactor reactor;
    private final Selector selector;
    private volatile boolean stopped;

    InheritedListening(ServerSocketChannel socket, IOEventHandlerFactory handlers, IOReactorConfig config,
                       Callback<Exception> onFault) throws IOException {
        this.socket = socket;
        reactor = new DefaultConnectingIOReactor(handlers, config, task -> new Thread(task, "frontend-io"), null, onFault,
            null, ShutdownCommand.GRACEFUL_NORMAL_CALLBACK);
        selector = Selector.open();
    }

    @Override
    public InetSocketAddress start() throws IOException {
        reactor.start();
        socket.configureBlocking(false);
        socket.register(selector, SelectionKey.OP_ACCEPT);
        new Thread(this::accept, "frontend-accept").start();
        return (InetSocketAddress) socket.getLocalAddress();
    }

    private void accept() {
        while (!stopped) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                for (SocketChannel next = stopped ? null : socket.accept(); next != null;
                     next = stopped ? null : socket.accept()) {
                    ChannelBridge.adopt(reactor, next);
                }
            } catch (IOException | IllegalStateException e) {
                // Guards against a moment without descriptors: what waits in the socket's queue waits a little longer.
                Log.info("acceptor-waits", String.valueOf(e.getMessage()));
                pause();
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    @Override
    public void stopAccepting() {
        stopped = true;
        selector.wakeup();
    }

    @Override
    public void close() {
        reactor.close(CloseMode.GRACEFUL);
    }
}
