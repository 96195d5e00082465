package calicochute.fleet;

import calicochute.errors.Code;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * One UDP socket and the thread that reads it. What comes is bounded here: the decision thread never has more than a
 * few hundred waiting.
 */
final class Datagrams implements AutoCloseable {
    /** Bytes; none is longer, one that is was cut by the system and will be refused as malformed. */
    private static final int LONGEST = 1_500;

    private static final int MOST_WAITING = 512;
    private final DatagramChannel channel;
    private final Selector selector;
    private final Thread thread;
    private final Consumer<byte[]> heard;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong overflowed = new AtomicLong();
    private final AtomicLong unsent = new AtomicLong();

    /** @param heard is called on the socket's thread and calls {@link #taken} once it is done with each */
    Datagrams(InetSocketAddress listen, Consumer<byte[]> heard) throws FleetException {
        this.heard = heard;
        try {
            channel = DatagramChannel.open();
            try {
                channel.configureBlocking(false);
                channel.bind(listen);
                selector = Selector.open();
                channel.register(selector, SelectionKey.OP_READ);
            } catch (IOException e) {
                channel.close();
                throw e;
            }
        } catch (IOException e) {
            throw new FleetException(
                    Code.FLEET_ADDRESS, String.valueOf(listen), "no datagrams can be heard: " + e.getMessage());
        }
        thread = new Thread(this::read, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
        while (channel.isOpen()) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                while (channel.isOpen() && channel.receive(buffer.clear()) != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    if (waiting.incrementAndGet() > MOST_WAITING) {
                        waiting.decrementAndGet();
                        overflowed.incrementAndGet();
                    } else {
                        heard.accept(datagram);
                    }
                }
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                // An address that refused an earlier datagram: the next one may be fine.
                overflowed.incrementAndGet();
            }
        }
    }

    void taken() {
        waiting.decrementAndGet();
    }

    /** Never waits: a full buffer loses it, as the network may. */
    void send(InetSocketAddress to, byte[] datagram) {
        try {
            if (channel.send(ByteBuffer.wrap(datagram), to) == 0) {
                unsent.incrementAndGet();
            }
        } catch (IOException e) {
            unsent.incrementAndGet();
        }
    }

    long overflowed() {
        return overflowed.get();
    }

    long unsent() {
        return unsent.get();
    }

    @Override
    public void close() {
        try {
            channel.close();
            selector.close();
        } catch (IOException e) {
            // It is as good as closed.
        }
    }
}
