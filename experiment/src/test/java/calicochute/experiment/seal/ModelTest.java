package calicochute.experiment.seal;

import static org.junit.jupiter.api.Assertions.*;

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
 * Histories of three peers, two of which propose, breadth first over the real machine, all or to a depth: what was once
 * sent may come at any time, often, or never; one peer crashes at any time, with or without memory. In no state are
 * there two values of a slot.
 */
class ModelTest {
    private static final long NOW_MICROS = 1_000;
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final List<String> PEERS = List.of("a", "b", "c");
    private static final Codec CODEC = new Codec("x", 1, PEERS);
    private static final Timing TIMING =
            new Timing(1_000_000, 0, 2 * HOUR_MICROS, HOUR_MICROS, HOUR_MICROS, HOUR_MICROS, HOUR_MICROS);
    private static final int CRASH = -1;
    private static final int RETRY = -2;

    private record Datagram(int sender, int recipient, String bytes) {}

    /** One peer as it stands; value is null until it knows slot 1. */
    private record PeerState(int self, Register node, byte[] persisted, String value) {}

    private record Step(int peerState, int[] sent) {}

    private record World(List<Integer> peerStates, int crashes, int retries, BitSet sent) {}

    private final List<Datagram> datagrams = new ArrayList<>();
    private final Map<Datagram, Integer> datagramIds = new HashMap<>();
    private final List<PeerState> peerStates = new ArrayList<>();
    private final Map<String, Integer> peerStateIds = new HashMap<>();
    private final Map<List<Integer>, Step> steps = new HashMap<>();
    private boolean crashLosesState;
    private int crashingPeer;

    private static Register node(int i, long incarnation, byte[] state) {
        Register node = new Register("x", 1, PEERS, PEERS.get(i), incarnation, true, state, TIMING);
        node.setRank(0);
        return node;
    }

    private Step runEffects(int i, Register node, byte[] previouslyPersisted) {
        byte[] persisted = previouslyPersisted;
        List<Integer> sent = new ArrayList<>();
        List<Effect> effects;
        while (!(effects = node.effects()).isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Persist persist) {
                    persisted = persist.state();
                    node.persisted(persist.token());
                } else if (effect instanceof Effect.Send send && isExplored(i, send)) {
                    Datagram datagram = new Datagram(
                            i,
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
        String text = i + RegisterSnapshot.text(node) + HexFormat.of().formatHex(persisted);
        int peerStateId = peerStateIds.computeIfAbsent(text, x -> peerStates.size());
        if (peerStateId == peerStates.size()) {
            peerStates.add(new PeerState(i, node, persisted, value));
        }
        return new Step(peerStateId, sent.stream().mapToInt(x -> x).toArray());
    }

    /** Who learns a decided value from others is of interest here only where that may bring a vote back. */
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

    private Step step(int local, int event) {
        return steps.computeIfAbsent(List.of(local, event), x -> {
            PeerState before = peerStates.get(local);
            int i = before.self;
            if (event == CRASH) {
                Register node = node(i, NOW_MICROS + 1, crashLosesState ? null : before.persisted);
                if (node.slotNumber() == 0) {
                    node.propose(NOW_MICROS, node.decidedSlot(), ("again" + i).getBytes(StandardCharsets.ISO_8859_1));
                }
                if (crashLosesState) {
                    node.tick(NOW_MICROS);
                }
                return runEffects(i, node, before.persisted);
            }
            Register node = RegisterSnapshot.copy(before.node, node(i, NOW_MICROS, null));
            if (event == RETRY) {
                node.tick(NOW_MICROS + HOUR_MICROS / 2);
            } else {
                node.received(
                        NOW_MICROS,
                        PEERS.get(datagrams.get(event).sender),
                        datagrams.get(event).bytes.getBytes(StandardCharsets.ISO_8859_1));
            }
            return runEffects(i, node, before.persisted);
        });
    }

    private World successor(World world, int i, int event) {
        Step step = step(world.peerStates.get(i), event);
        List<Integer> next = new ArrayList<>(world.peerStates);
        next.set(i, step.peerState);
        BitSet net = (BitSet) world.sent.clone();
        for (int mail : step.sent) {
            net.set(mail);
        }
        return new World(next, world.crashes - (event == CRASH ? 1 : 0), world.retries - (event == RETRY ? 1 : 0), net);
    }

    private ModelTest withCrash(int peer, boolean losesState) {
        crashingPeer = peer;
        crashLosesState = losesState;
        return this;
    }

    /**
     * How many states there are; if more than {@code most}, less than 0: all histories of that many steps were gone
     * through.
     */
    private int explore(int retries, int crashes, int maxWorlds) {
        byte[] state = CODEC.write(AcceptorState.INITIAL
                .learn(new SlotId(new Epoch(9, 0, 9), 0), AcceptorState.NO_VALUE)
                .startVoting());
        List<Integer> initial = new ArrayList<>();
        BitSet net = new BitSet();
        for (int i = 0; i < 3; i++) {
            Register node = node(i, NOW_MICROS, state);
            if (i < 2) {
                node.propose(NOW_MICROS, node.decidedSlot(), ("by" + i).getBytes(StandardCharsets.ISO_8859_1));
            }
            Step step = runEffects(i, node, state);
            initial.add(step.peerState);
            for (int mail : step.sent) {
                net.set(mail);
            }
        }
        World initialWorld = new World(initial, crashes, retries, net);
        Set<World> known = new HashSet<>(Set.of(initialWorld));
        ArrayDeque<World> open = new ArrayDeque<>(List.of(initialWorld));
        Map<World, Integer> depth = new HashMap<>();
        Set<String> decided = new HashSet<>();
        while (!open.isEmpty()) {
            World world = open.poll();
            List<World> next = new ArrayList<>();
            world.sent.stream().forEach(mail -> next.add(successor(world, datagrams.get(mail).recipient, mail)));
            if (world.crashes > 0) {
                next.add(successor(world, crashingPeer, CRASH));
            }
            boolean refused = world.sent.stream()
                    .anyMatch(m -> datagrams.get(m).recipient == 0
                            && datagrams.get(m).bytes.charAt(1) == 9);
            if (world.retries > 0 && refused) {
                next.add(successor(world, 0, RETRY));
            }
            for (World each : next) {
                if (!known.add(each)) {
                    continue;
                }
                depth.put(each, depth.getOrDefault(world, 0) + 1);
                assertAgreement(each, decided);
                open.add(each);
            }
            if (known.size() > maxWorlds) {
                return -depth.getOrDefault(world, 0);
            }
        }
        assertTrue(decided.containsAll(Set.of("by0", "by1")), () -> "either can win: " + decided);
        return known.size();
    }

    private void assertAgreement(World world, Set<String> decided) {
        Set<String> values = new HashSet<>();
        for (int local : world.peerStates) {
            if (peerStates.get(local).value != null) {
                values.add(peerStates.get(local).value);
            }
        }
        assertTrue(values.size() <= 1, () -> "two values of a slot: " + values);
        decided.addAll(values);
    }

    @Test
    void twoProposersAgree() {
        assertTrue(explore(0, 0, 10_000) > 3_000, "all histories");
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
        assertTrue(states > 0 || states <= -10, "gone through to depth " + -states);
    }
}
