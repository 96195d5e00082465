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
 * Datagrams between processes led through sockets of the lab's, with faults between them that can change at run time.
 * Each receiver has one socket, a stand-in: the others have its address in place of the receiver's own. Who sent a
 * datagram is told by its source, which the lab knows since it chose it; it is passed on from the sender's stand-in, so
 * that the receiver sees the address that it knows the sender by and can answer there. N sockets for N processes, one
 * thread. What comes from an unknown source, and what would be too much to hold, is dropped and counted.
 */
public final class Net implements AutoCloseable {
    private static final int MOST_HELD = 100_000;
    private static final int LARGEST = 65_535;
    private static final int BUFFER = 1 << 20;
    private static final int READS_IN_TURN = 64;
    private final List<InetSocketAddress> real;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final List<DatagramChannel> standIns = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Wire wire;
    private final Selector selector;
    private final PriorityQueue<Held> held = new PriorityQueue<>();
    private final AtomicLongArray counts = new AtomicLongArray(Counted.values().length);
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(LARGEST);
    private final Thread thread;
    private volatile boolean closed;
    private long sequence;

    /** What is counted, in datagrams. {@code UNSENT}: a socket of the lab's refused it. */
    public enum Counted {
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

    private record Held(long at, long order, int from, int to, byte[] bytes) implements Comparable<Held> {
        @Override
        public int compareTo(Held other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /**
     * Opens a stand-in for each of the processes, whose own addresses are {@code real}, beside it on the same host.
     * {@code wire} decides.
     */
    public Net(List<InetSocketAddress> real, Wire wire) throws IOException {
        this.real = List.copyOf(real);
        this.wire = wire;
        selector = Selector.open();
        try {
            for (int i = 0; i < real.size(); i++) {
                numbers.put(real.get(i), i);
                DatagramChannel channel = DatagramChannel.open();
                standIns.add(channel);
                channel.bind(new InetSocketAddress(real.get(i).getAddress(), 0));
                channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, BUFFER);
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_READ, i);
                addresses.add((InetSocketAddress) channel.getLocalAddress());
            }
        } catch (IOException e) {
            shut();
            throw e;
        }
        thread = new Thread(this::loop, "network");
        thread.setDaemon(true);
        thread.start();
    }

    /** A net between {@code count} processes on free addresses of 127.0.0.1; decisions are drawn from the seed. */
    public static Net between(int count, long seed) throws IOException {
        List<InetSocketAddress> real = new ArrayList<>();
        List<DatagramChannel> taken = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                // Kept until all are drawn, so that none is drawn twice.
                DatagramChannel channel = DatagramChannel.open();
                taken.add(channel);
                real.add((InetSocketAddress) channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .getLocalAddress());
            }
        } finally {
            for (DatagramChannel channel : taken) {
                channel.close();
            }
        }
        return new Net(
                real,
                new Wire(
                        count,
                        Conditions.CLEAN,
                        way -> RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, way})));
    }

    /** Where a process listens itself; nobody else is told. */
    public InetSocketAddress real(int process) {
        return real.get(process);
    }

    /** Where the others send to it. */
    public InetSocketAddress address(int process) {
        return addresses.get(process);
    }

    public int size() {
        return real.size();
    }

    /** Nothing passes from {@code a} to {@code b} from now on; back it does. */
    public void cut(int a, int b) {
        begin(new Fault.Cut(Fault.of(a), Fault.of(b)));
    }

    /** Nothing passes between these and the others. */
    public void split(int... side) {
        begin(new Fault.Split(Fault.of(side)));
    }

    /** What comes to one takes longer. */
    public void slow(int process, long micros) {
        begin(new Fault.SlowPeer(Fault.of(process), micros));
    }

    /** All faults end; the part that is lost anywhere stays as it is. */
    public void heal() {
        atOnce(wire::heal);
    }

    /** The part of all datagrams that is lost. */
    public void loss(double part) {
        atOnce(() -> wire.usually(new Conditions(
                part, wire.usual().delay(), wire.usual().repeat(), wire.usual().reorder())));
    }

    public void usually(Conditions conditions) {
        atOnce(() -> wire.usually(conditions));
    }

    public void begin(Fault fault) {
        atOnce(() -> wire.begin(fault));
    }

    public void end(Fault fault) {
        atOnce(() -> wire.end(fault));
    }

    /** All processes. */
    public BitSet all() {
        BitSet all = new BitSet();
        all.set(0, real.size());
        return all;
    }

    public long count(Counted what) {
        return counts.get(what.ordinal());
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

    /** At once: what is sent from now on meets it. */
    private void atOnce(Runnable task) {
        synchronized (wire) {
            task.run();
        }
    }

    private void add(Counted what) {
        counts.incrementAndGet(what.ordinal());
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void loop() {
        try {
            while (!closed) {
                deliver();
                // In whole milliseconds, upwards: what is due sooner than that would make the loop spin.
                long wait = held.isEmpty() ? 1000 : Math.max(1, (held.peek().at - now() + 999) / 1000);
                selector.select(this::read, wait);
            }
        } catch (IOException e) {
            // The selector is gone; so is the net.
        } finally {
            shut();
        }
    }

    private void read(SelectionKey key) {
        int to = (Integer) key.attachment();
        for (int i = 0; i < READS_IN_TURN; i++) {
            buffer.clear();
            SocketAddress source;
            try {
                source = standIns.get(to).receive(buffer);
            } catch (IOException e) {
                // A refusal by a process that is down, told to the socket that had sent to it.
                continue;
            }
            if (source == null) {
                return;
            }
            buffer.flip();
            taken(source, to);
        }
    }

    private void taken(SocketAddress source, int to) {
        add(Counted.TAKEN);
        Integer from = numbers.get(source);
        if (from == null) {
            add(Counted.UNKNOWN);
            return;
        }
        Wire.Fate fate;
        synchronized (wire) {
            fate = wire.send(now(), from, to);
        }
        switch (fate.cause()) {
            case LOST -> add(Counted.LOST);
            case CUT -> add(Counted.CUT);
            case REPEATED -> add(Counted.REPEATED);
            case HELD -> add(Counted.HELD);
            case PASSED -> {
                // The usual.
            }
            default -> throw new IllegalStateException(fate.cause().name());
        }
        if (fate.arrivals().isEmpty()) {
            return;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        for (long at : fate.arrivals()) {
            if (held.size() >= MOST_HELD) {
                add(Counted.TOO_MANY);
            } else {
                held.add(new Held(at, sequence++, from, to, bytes));
            }
        }
    }

    private void deliver() {
        long now = now();
        while (!held.isEmpty() && held.peek().at <= now) {
            Held next = held.poll();
            try {
                boolean sent = standIns.get(next.from).send(ByteBuffer.wrap(next.bytes), real.get(next.to)) > 0
                        || next.bytes.length == 0;
                add(sent ? Counted.DELIVERED : Counted.UNSENT);
            } catch (IOException e) {
                add(Counted.UNSENT);
            }
        }
    }

    private void shut() {
        for (DatagramChannel channel : standIns) {
            close(channel);
        }
        close(selector);
    }

    private static void close(java.io.Closeable what) {
        try {
            what.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
