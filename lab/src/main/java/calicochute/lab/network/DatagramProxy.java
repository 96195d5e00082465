package calicochute.lab.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicLongArray;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A UDP proxy between processes that injects network faults, which can change at run time. Each process has one proxy
 * socket; the other processes are configured with its address in place of the process's own. The proxy recognises the
 * sender of a datagram by its source address and forwards the datagram from the sender's proxy socket, so that the
 * receiver sees the address that it knows the sender by and can reply to it. N processes need N sockets and one thread.
 * Datagrams from unknown sources, and those beyond the limit of datagrams in flight, are dropped and counted.
 */
public final class DatagramProxy implements AutoCloseable {
    private static final int MAX_IN_FLIGHT_DATAGRAMS = 100_000;
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;
    private static final int MAX_READS_PER_SOCKET = 64;
    private final List<InetSocketAddress> processAddresses;
    private final Map<SocketAddress, Integer> processByAddress = new HashMap<>();
    private final List<DatagramChannel> proxyChannels = new ArrayList<>();
    private final List<InetSocketAddress> proxyAddresses = new ArrayList<>();
    private final LinkModel linkModel;
    private final Selector selector;
    private final PriorityQueue<InFlightDatagram> inFlight = new PriorityQueue<>();
    private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    private final Thread thread;
    private volatile boolean closed;
    private long sequence;

    /**
     * What is counted, in datagrams: {@code TAKEN} all that the proxy has received, {@code DELIVERED} all that it has
     * sent, {@code UNKNOWN} those from unknown sources, {@code TOO_MANY} those beyond the limit of datagrams in flight,
     * {@code UNSENT} those that a proxy socket failed to send. The others are those of {@link LinkModel.DeliveryKind}.
     * The names appear in the lab's results.
     */
    public enum Count {
        TAKEN,
        DELIVERED,
        LOST,
        CUT,
        REPEATED,
        HELD,
        UNKNOWN,
        TOO_MANY,
        UNSENT
    }

    private record InFlightDatagram(long at, long order, int from, int to, byte[] bytes)
            implements Comparable<InFlightDatagram> {
        @Override
        public int compareTo(InFlightDatagram other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /**
     * Opens a proxy socket for each process, on the same host as the process.
     *
     * @param processAddresses the addresses at which the processes themselves listen
     * @param linkModel decides what happens to each datagram
     */
    public DatagramProxy(List<InetSocketAddress> processAddresses, LinkModel linkModel) throws IOException {
        this.processAddresses = List.copyOf(processAddresses);
        this.linkModel = linkModel;
        selector = Selector.open();
        try {
            for (int i = 0; i < processAddresses.size(); i++) {
                processByAddress.put(processAddresses.get(i), i);
                DatagramChannel channel = DatagramChannel.open();
                proxyChannels.add(channel);
                channel.bind(new InetSocketAddress(processAddresses.get(i).getAddress(), 0));
                channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_READ, i);
                proxyAddresses.add((InetSocketAddress) channel.getLocalAddress());
            }
        } catch (IOException e) {
            closeChannels();
            throw e;
        }
        thread = new Thread(this::loop, "network");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A proxy between {@code count} processes on free ports of 127.0.0.1; its random streams are made from the seed.
     */
    public static DatagramProxy onLoopback(int count, long seed) throws IOException {
        List<InetSocketAddress> processAddresses = new ArrayList<>();
        List<DatagramChannel> channels = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                // Channels stay open until all addresses are chosen, so that no port is chosen twice.
                DatagramChannel channel = DatagramChannel.open();
                channels.add(channel);
                processAddresses.add(
                        (InetSocketAddress) channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                                .getLocalAddress());
            }
        } finally {
            for (DatagramChannel channel : channels) {
                channel.close();
            }
        }
        return new DatagramProxy(
                processAddresses,
                new LinkModel(
                        count,
                        Conditions.CLEAN,
                        link -> RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, link})));
    }

    /** The address at which a process itself listens; other processes do not get it. */
    public InetSocketAddress processAddress(int process) {
        return processAddresses.get(process);
    }

    /** The address of a process's proxy socket, to which the other processes send. */
    public InetSocketAddress proxyAddress(int process) {
        return proxyAddresses.get(process);
    }

    public int size() {
        return processAddresses.size();
    }

    /** Drops all datagrams from one process to another; the opposite direction is not affected. */
    public void cut(int from, int to) {
        beginFault(new Fault.Cut(Fault.setOf(from), Fault.setOf(to)));
    }

    /** Drops all datagrams between the given processes and the others. */
    public void split(int... side) {
        beginFault(new Fault.Split(Fault.setOf(side)));
    }

    /** Delays all datagrams to a process. */
    public void delayTo(int process, long micros) {
        beginFault(new Fault.SlowPeer(Fault.setOf(process), micros));
    }

    /** Ends all faults; the conditions without faults, such as their loss, stay as they are. */
    public void heal() {
        locked(linkModel::endAllFaults);
    }

    /** Sets the share of all datagrams that is lost, between 0 and 1. */
    public void setLoss(double share) {
        locked(() -> linkModel.setConditions(new Conditions(
                share,
                linkModel.conditions().delay(),
                linkModel.conditions().repeat(),
                linkModel.conditions().reorder())));
    }

    public void setConditions(Conditions conditions) {
        locked(() -> linkModel.setConditions(conditions));
    }

    public void beginFault(Fault fault) {
        locked(() -> linkModel.beginFault(fault));
    }

    public void endFault(Fault fault) {
        locked(() -> linkModel.endFault(fault));
    }

    /** The numbers of all processes. */
    public BitSet allProcesses() {
        BitSet processes = new BitSet();
        processes.set(0, processAddresses.size());
        return processes;
    }

    public long count(Count count) {
        return counts.get(count.ordinal());
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a change of the link model under its lock; it applies to datagrams received from then on. */
    private void locked(Runnable task) {
        synchronized (linkModel) {
            task.run();
        }
    }

    private void increment(Count count) {
        counts.incrementAndGet(count.ordinal());
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void loop() {
        try {
            while (!closed) {
                deliver();
                // Rounded up to whole milliseconds: with 0 the loop would spin until the next datagram is due.
                long waitMillis = inFlight.isEmpty() ? 1000 : Math.max(1, (inFlight.peek().at - now() + 999) / 1000);
                selector.select(this::read, waitMillis);
            }
        } catch (IOException e) {
            // The selector has failed; the proxy cannot go on.
        } finally {
            closeChannels();
        }
    }

    private void read(SelectionKey key) {
        int to = (Integer) key.attachment();
        for (int i = 0; i < MAX_READS_PER_SOCKET; i++) {
            buffer.clear();
            SocketAddress source;
            try {
                source = proxyChannels.get(to).receive(buffer);
            } catch (IOException e) {
                // An ICMP error for an earlier datagram to a process that is down, reported at the sending socket.
                continue;
            }
            if (source == null) {
                return;
            }
            buffer.flip();
            handle(source, to);
        }
    }

    private void handle(SocketAddress source, int to) {
        increment(Count.TAKEN);
        Integer from = processByAddress.get(source);
        if (from == null) {
            increment(Count.UNKNOWN);
            return;
        }
        LinkModel.Delivery delivery;
        synchronized (linkModel) {
            delivery = linkModel.send(now(), from, to);
        }
        switch (delivery.kind()) {
            case LOST -> increment(Count.LOST);
            case CUT -> increment(Count.CUT);
            case REPEATED -> increment(Count.REPEATED);
            case HELD -> increment(Count.HELD);
            case PASSED -> {
                // Only the exceptions are counted.
            }
            default -> throw new IllegalStateException(delivery.kind().name());
        }
        if (delivery.arrivals().isEmpty()) {
            return;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        for (long at : delivery.arrivals()) {
            if (inFlight.size() >= MAX_IN_FLIGHT_DATAGRAMS) {
                increment(Count.TOO_MANY);
            } else {
                inFlight.add(new InFlightDatagram(at, sequence++, from, to, bytes));
            }
        }
    }

    private void deliver() {
        long now = now();
        while (!inFlight.isEmpty() && inFlight.peek().at <= now) {
            InFlightDatagram next = inFlight.poll();
            try {
                boolean sent =
                        proxyChannels.get(next.from).send(ByteBuffer.wrap(next.bytes), processAddresses.get(next.to))
                                        > 0
                                || next.bytes.length == 0;
                increment(sent ? Count.DELIVERED : Count.UNSENT);
            } catch (IOException e) {
                increment(Count.UNSENT);
            }
        }
    }

    private void closeChannels() {
        for (DatagramChannel channel : proxyChannels) {
            close(channel);
        }
        close(selector);
    }

    private static void close(java.io.Closeable resource) {
        try {
            resource.close();
        } catch (IOException e) {
            // Nothing depends on the result.
        }
    }
}
