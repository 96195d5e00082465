package calicochute.experiment.seal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Registers on a simulated network; checks after each step that no slot has two values. */
final class SimulatedFleet {
    private record Datagram(long deliverAt, long sequence, int recipient, int sender, byte[] bytes) {}

    static final long MICROS_PER_MILLI = 1_000;
    final List<String> ids = new ArrayList<>();
    final Register[] nodes;
    final byte[][] persistedStates;
    final boolean[] persistent;
    /** Whether each peer is paused. */
    final boolean[] stopped;
    /** Partition of each peer; messages are delivered within a partition only. */
    final int[] partition;

    /** New epochs that began because peers had lost their state, as reported by each peer. */
    final List<Effect.EpochBegun> stateLosses = new ArrayList<>();

    private final Map<SlotId, String> valueBySlot = new HashMap<>();
    private final PriorityQueue<Datagram> inFlight =
            new PriorityQueue<>((first, second) -> first.deliverAt != second.deliverAt
                    ? Long.compare(first.deliverAt, second.deliverAt)
                    : Long.compare(first.sequence, second.sequence));
    private final SplittableRandom random;
    long nowMicros = 1_000_000_000;
    double lossProbability;
    double duplicateProbability;
    long maxDelayMicros = 5 * MICROS_PER_MILLI;
    /** Whether ranks follow the order of the peers; random otherwise. */
    boolean orderedRanks = true;

    private long nextSequence;
    long sentMessages;

    SimulatedFleet(int peerCount, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < peerCount; i++) {
            ids.add(String.format("lb-%03d", i));
        }
        nodes = new Register[peerCount];
        persistedStates = new byte[peerCount][];
        persistent = new boolean[peerCount];
        stopped = new boolean[peerCount];
        partition = new int[peerCount];
        for (int i = 0; i < peerCount; i++) {
            restart(i, false);
        }
    }

    /** Starts a new process of a peer, with or without the state that it persisted. */
    void restart(int peer, boolean withState) {
        if (!withState) {
            persistedStates[peer] = null;
        }
        persistent[peer] |= withState;
        nodes[peer] = new Register(
                "checkout",
                7,
                ids,
                ids.get(peer),
                ++nowMicros,
                persistent[peer],
                persistedStates[peer],
                Timing.DEFAULT);
    }

    /** Performs the effects of a peer. */
    void runEffects(int peer) {
        List<Effect> effects;
        while (!(effects = nodes[peer].effects()).isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Persist persist) {
                    persistedStates[peer] = persist.state();
                    nodes[peer].persisted(persist.token());
                } else if (effect instanceof Effect.Send send) {
                    send(peer, ids.indexOf(send.recipient()), send.message());
                } else if (effect instanceof Effect.EpochBegun begun && begun.stateLost()) {
                    stateLosses.add(begun);
                }
            }
            assertAgreement(nodes[peer]);
        }
    }

    private void assertAgreement(Register node) {
        if (node.slotNumber() == 0) {
            return;
        }
        String value = new String(node.value());
        String other = valueBySlot.putIfAbsent(node.decidedSlot(), value);
        if (other != null && !other.equals(value)) {
            throw new AssertionError(node.decidedSlot() + " is " + other + " and " + value);
        }
    }

    private void send(int sender, int recipient, byte[] bytes) {
        sentMessages++;
        for (int copies = random.nextDouble() < duplicateProbability ? 2 : 1; copies > 0; copies--) {
            if (partition[sender] == partition[recipient] && random.nextDouble() >= lossProbability) {
                inFlight.add(new Datagram(
                        nowMicros + 1 + random.nextLong(maxDelayMicros), nextSequence++, recipient, sender, bytes));
            }
        }
    }

    /** Advances by 100 ms; each node proposes a value that includes its id. */
    void tick() {
        long end = nowMicros + 100 * MICROS_PER_MILLI;
        while (!inFlight.isEmpty() && inFlight.peek().deliverAt <= end) {
            Datagram datagram = inFlight.poll();
            nowMicros = Math.max(nowMicros, datagram.deliverAt);
            if (stopped[datagram.recipient]) {
                if (random.nextInt(4) == 0) {
                    inFlight.add(new Datagram(
                            end + maxDelayMicros, nextSequence++, datagram.recipient, datagram.sender, datagram.bytes));
                }
                continue;
            }
            if (partition[datagram.sender] != partition[datagram.recipient]) {
                continue;
            }
            nodes[datagram.recipient].received(nowMicros, ids.get(datagram.sender), datagram.bytes);
            runEffects(datagram.recipient);
        }
        nowMicros = Math.max(nowMicros, end);
        int[] rank = new int[2];
        for (int i = 0; i < nodes.length; i++) {
            if (stopped[i]) {
                continue;
            }
            nodes[i].setRank(orderedRanks ? rank[partition[i]]++ : random.nextInt(3));
            SlotId slotId = nodes[i].decidedSlot();
            nodes[i].propose(
                    nowMicros, slotId, (slotId.slot() + 1 + " by " + ids.get(i) + " of " + nowMicros).getBytes());
            nodes[i].tick(nowMicros);
            runEffects(i);
        }
    }

    void ticks(int count) {
        for (int i = 0; i < count; i++) {
            tick();
        }
    }

    SlotId newest() {
        SlotId newest = SlotId.NONE;
        for (Register node : nodes) {
            if (node.decidedSlot().compareTo(newest) > 0) {
                newest = node.decidedSlot();
            }
        }
        return newest;
    }

    /** Removes all faults; true if within {@code maxTicks} all peers vote and know a slot decided afterwards. */
    boolean recovers(int maxTicks) {
        lossProbability = 0;
        duplicateProbability = 0;
        maxDelayMicros = 5 * MICROS_PER_MILLI;
        orderedRanks = true;
        Arrays.fill(stopped, false);
        Arrays.fill(partition, 0);
        SlotId previous = newest();
        for (int i = 0; i < maxTicks; i++) {
            tick();
            boolean all = true;
            for (Register node : nodes) {
                all &= node.canVote() && node.decidedSlot().compareTo(previous) > 0 && node.slotNumber() > 0;
            }
            if (all) {
                return true;
            }
        }
        return false;
    }
}
