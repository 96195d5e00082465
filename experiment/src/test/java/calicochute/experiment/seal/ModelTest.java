package calicochute.experiment.seal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores the histories of three peers breadth first, completely or to a depth, with the production classes. Two of
 * the peers propose. A message that was sent may arrive at any time, several times or never, and one peer may crash at
 * any time, with or without its state. No reachable state may have two values of a slot.
 */
class ModelTest {
    private static final long NOW_MICROS = 1_000;
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final List<String> PEERS = List.of("a", "b", "c");
    private static final Codec CODEC = new Codec("x", 1, PEERS);
    private static final Timing TIMING =
            new Timing(1_000_000, 0, 2 * HOUR_MICROS, HOUR_MICROS, HOUR_MICROS, HOUR_MICROS, HOUR_MICROS);
    /** Event numbers; other events are the ids of arriving datagrams. */
    private static final int CRASH = -1;

    private static final int RETRY = -2;

    private record Datagram(int sender, int recipient, String bytes) {}

    /** State of a peer; {@code value} is null until it knows slot 1. */
    private record PeerState(int self, Register node, byte[] persisted, String value) {}

    /** The state of a peer after an event and the datagrams it sent, by id. */
    private record Step(int peerStateId, int[] sentIds) {}

    /** State of all peers, the remaining events of each kind, and all datagrams sent so far. */
    private record World(List<Integer> peerStateIds, int crashes, int retries, BitSet sentIds) {}

    private final List<Datagram> datagrams = new ArrayList<>();
    private final Map<Datagram, Integer> datagramIds = new HashMap<>();
    private final List<PeerState> peerStates = new ArrayList<>();
    private final Map<String, Integer> peerStateIds = new HashMap<>();
    private final Map<List<Integer>, Step> steps = new HashMap<>();
    private boolean crashLosesState;
    private int crashingPeer;

    private static Register node(int peer, long incarnation, byte[] state) {
        Register node = new Register("x", 1, PEERS, PEERS.get(peer), incarnation, true, state, TIMING);
        node.setRank(0);
        return node;
    }

    /** Performs the effects of a peer and returns its new state and the datagrams it sent. */
    private Step runEffects(int peer, Register node, byte[] previouslyPersisted) {
        byte[] persisted = previouslyPersisted;
        List<Integer> sent = new ArrayList<>();
        List<Effect> effects;
        while (!(effects = node.effects()).isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Persist persist) {
                    persisted = persist.state();
                    node.persisted(persist.token());
                } else if (effect instanceof Effect.Send send && isExplored(peer, send)) {
                    Datagram datagram = new Datagram(
                            peer,
                            PEERS.indexOf(send.recipient()),
                            new String(send.message(), StandardCharsets.ISO_8859_1));
                    sent.add(datagramIds.computeIfAbsent(datagram, m -> datagrams.size()));
                    if (datagramIds.size() > datagrams.size()) {
                        datagrams.add(datagram);
                    }
                }
            }
        }
        String value = node.slotNumber() == 0 ? null : new String(node.value(), StandardCharsets.ISO_8859_1);
        String text = peer + RegisterSnapshot.text(node) + HexFormat.of().formatHex(persisted);
        int peerStateId = peerStateIds.computeIfAbsent(text, x -> peerStates.size());
        if (peerStateId == peerStates.size()) {
            peerStates.add(new PeerState(peer, node, persisted, value));
        }
        return new Step(peerStateId, sent.stream().mapToInt(x -> x).toArray());
    }

    /** Whether a message is explored. Messages that carry decisions matter only if they can restore a peer's vote. */
    private boolean isExplored(int sender, Effect.Send send) {
        try {
            Message message = CODEC.read(send.message());
            boolean carriesDecision = message instanceof Message.DecidedNotice
                    || message instanceof Message.DecidedValue
                    || message instanceof Message.ValueRequest;
            return !carriesDecision
                    || (crashLosesState && (sender == crashingPeer || PEERS.indexOf(send.recipient()) == crashingPeer));
        } catch (MalformedException e) {
            throw new AssertionError(e);
        }
    }

    /** Applies an event to a peer state; results are cached. */
    private Step step(int peerStateId, int event) {
        return steps.computeIfAbsent(List.of(peerStateId, event), x -> {
            PeerState previous = peerStates.get(peerStateId);
            int peer = previous.self;
            if (event == CRASH) {
                Register node = node(peer, NOW_MICROS + 1, crashLosesState ? null : previous.persisted);
                if (node.slotNumber() == 0) {
                    node.propose(
                            NOW_MICROS, node.decidedSlot(), ("again" + peer).getBytes(StandardCharsets.ISO_8859_1));
                }
                if (crashLosesState) {
                    node.tick(NOW_MICROS);
                }
                return runEffects(peer, node, previous.persisted);
            }
            Register node = RegisterSnapshot.copy(previous.node, node(peer, NOW_MICROS, null));
            if (event == RETRY) {
                node.tick(NOW_MICROS + HOUR_MICROS / 2);
            } else {
                node.received(
                        NOW_MICROS,
                        PEERS.get(datagrams.get(event).sender),
                        datagrams.get(event).bytes.getBytes(StandardCharsets.ISO_8859_1));
            }
            return runEffects(peer, node, previous.persisted);
        });
    }

    /** The world after an event at a peer. */
    private World successor(World world, int peer, int event) {
        Step step = step(world.peerStateIds.get(peer), event);
        List<Integer> next = new ArrayList<>(world.peerStateIds);
        next.set(peer, step.peerStateId);
        BitSet sentIds = (BitSet) world.sentIds.clone();
        for (int datagramId : step.sentIds) {
            sentIds.set(datagramId);
        }
        return new World(
                next, world.crashes - (event == CRASH ? 1 : 0), world.retries - (event == RETRY ? 1 : 0), sentIds);
    }

    private ModelTest withCrash(int peer, boolean losesState) {
        crashingPeer = peer;
        crashLosesState = losesState;
        return this;
    }

    /**
     * Explores all histories and returns the number of states. If there are more than {@code maxWorlds}, returns the
     * negated depth up to which the exploration is complete.
     */
    private int explore(int retries, int crashes, int maxWorlds) {
        byte[] state = CODEC.write(AcceptorState.INITIAL
                .learn(new SlotId(new Epoch(9, 0, 9), 0), AcceptorState.NO_VALUE)
                .startVoting());
        List<Integer> initial = new ArrayList<>();
        BitSet sentIds = new BitSet();
        for (int i = 0; i < 3; i++) {
            Register node = node(i, NOW_MICROS, state);
            if (i < 2) {
                node.propose(NOW_MICROS, node.decidedSlot(), ("by" + i).getBytes(StandardCharsets.ISO_8859_1));
            }
            Step step = runEffects(i, node, state);
            initial.add(step.peerStateId);
            for (int datagramId : step.sentIds) {
                sentIds.set(datagramId);
            }
        }
        World initialWorld = new World(initial, crashes, retries, sentIds);
        Set<World> known = new HashSet<>(Set.of(initialWorld));
        ArrayDeque<World> open = new ArrayDeque<>(List.of(initialWorld));
        Map<World, Integer> depth = new HashMap<>();
        Set<String> decided = new HashSet<>();
        while (!open.isEmpty()) {
            World world = open.poll();
            List<World> next = new ArrayList<>();
            world.sentIds.stream()
                    .forEach(datagramId -> next.add(successor(world, datagrams.get(datagramId).recipient, datagramId)));
            if (world.crashes > 0) {
                next.add(successor(world, crashingPeer, CRASH));
            }
            // The second byte of a message is its kind; 9 is Rejected.
            boolean rejected = world.sentIds.stream()
                    .anyMatch(datagramId -> datagrams.get(datagramId).recipient == 0
                            && datagrams.get(datagramId).bytes.charAt(1) == 9);
            if (world.retries > 0 && rejected) {
                next.add(successor(world, 0, RETRY));
            }
            for (World successor : next) {
                if (!known.add(successor)) {
                    continue;
                }
                depth.put(successor, depth.getOrDefault(world, 0) + 1);
                assertAgreement(successor, decided);
                open.add(successor);
            }
            if (known.size() > maxWorlds) {
                return -depth.getOrDefault(world, 0);
            }
        }
        assertTrue(decided.containsAll(Set.of("by0", "by1")), () -> "either value can be decided: " + decided);
        return known.size();
    }

    private void assertAgreement(World world, Set<String> decided) {
        Set<String> values = new HashSet<>();
        for (int peerStateId : world.peerStateIds) {
            if (peerStates.get(peerStateId).value != null) {
                values.add(peerStates.get(peerStateId).value);
            }
        }
        assertTrue(values.size() <= 1, () -> "two values of a slot: " + values);
        decided.addAll(values);
    }

    @Test
    void twoProposersAgree() {
        assertTrue(explore(0, 0, 10_000) > 3_000, "number of states of all histories");
    }

    @Test
    void rejectedProposerRetries() {
        assertExplored(explore(1, 0, 300_000));
    }

    @Test
    void voterCrashesWithoutState() {
        assertExplored(withCrash(2, true).explore(0, 1, 300_000));
    }

    @Test
    void proposerCrashesWithoutState() {
        assertExplored(withCrash(0, true).explore(0, 1, 300_000));
    }

    @Test
    void proposerCrashesWithState() {
        assertExplored(withCrash(1, false).explore(0, 1, 300_000));
    }

    private static void assertExplored(int states) {
        assertTrue(states > 0 || states <= -10, "explored only to depth " + -states);
    }
}
