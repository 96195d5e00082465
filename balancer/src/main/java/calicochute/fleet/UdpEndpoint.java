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
 * One UDP socket and the thread that reads it. It limits the number of datagrams that wait for the decision thread and
 * drops the ones beyond.
 */
final class UdpEndpoint implements AutoCloseable {
    /** Buffer size; a longer datagram is truncated by the system and rejected later as malformed. */
    private static final int MAX_DATAGRAM_BYTES = 1_500;

    /** Greatest number of datagrams received and not processed yet. */
    private static final int MAX_QUEUED = 512;

    private final DatagramChannel channel;
    private final Selector selector;
    private final Thread thread;
    private final Consumer<byte[]> receiver;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong overflowed = new AtomicLong();
    private final AtomicLong unsent = new AtomicLong();

    /** @param receiver gets each datagram on the socket's thread; {@link #release} must follow for each */
    UdpEndpoint(InetSocketAddress listen, Consumer<byte[]> receiver) throws FleetException {
        this.receiver = receiver;
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
                    Code.FLEET_ADDRESS, String.valueOf(listen), "cannot receive datagrams: " + e.getMessage());
        }
        thread = new Thread(this::read, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        while (channel.isOpen()) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                while (channel.isOpen() && channel.receive(buffer.clear()) != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    if (queued.incrementAndGet() > MAX_QUEUED) {
                        queued.decrementAndGet();
                        overflowed.incrementAndGet();
                    } else {
                        receiver.accept(datagram);
                    }
                }
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                // A peer's address refused an earlier datagram; later ones may succeed.
                overflowed.incrementAndGet();
            }
        }
    }

    /** Marks one received datagram as processed, so that another one can be queued. */
    void release() {
        queued.decrementAndGet();
    }

    /** Sends without blocking; if the send buffer is full the datagram is lost, as it may be in the network. */
    void send(InetSocketAddress receiverAddress, byte[] datagram) {
        try {
            if (channel.send(ByteBuffer.wrap(datagram), receiverAddress) == 0) {
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
            // The socket is not used any further.
        }
    }
}
