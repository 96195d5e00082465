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
    private static final long T = 1_000;
    private static final long HOUR = 3_600_000_000L;
    private static final List<String> PEERS = List.of("a", "b", "c");
    private static final Codec CODEC = new Codec("x", 1, PEERS);
    private static final Timing TIMING = new Timing(1_000_000, 0, 2 * HOUR, HOUR, HOUR, HOUR, HOUR);
    private static final int CRASH = -1;
    private static final int RETRY = -2;

    private record Mail(int from, int to, String bytes) {}

    /** One peer as it stands; value is null until it knows slot 1. */
    private record Local(int me, Register node, byte[] kept, String value) {}

    private record Step(int local, int[] sent) {}

    private record World(List<Integer> locals, int crashes, int retries, BitSet net) {}

    private final List<Mail> mails = new ArrayList<>();
    private final Map<Mail, Integer> mailIds = new HashMap<>();
    private final List<Local> locals = new ArrayList<>();
    private final Map<String, Integer> localIds = new HashMap<>();
    private final Map<List<Integer>, Step> steps = new HashMap<>();
    private boolean forget;
    private int who;

    private static Register node(int i, long life, byte[] state) {
        Register node = new Register("x", 1, PEERS, PEERS.get(i), life, true, state, TIMING);
        node.turn(0);
        return node;
    }

    private Step settle(int i, Register node, byte[] keptBefore) {
        byte[] kept = keptBefore;
        List<Integer> sent = new ArrayList<>();
        List<Effect> effects;
        while (!(effects = node.effects()).isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Persist p) {
                    kept = p.state();
                    node.persisted(p.token());
                } else if (effect instanceof Effect.Send s && told(i, s)) {
                    Mail mail =
                            new Mail(i, PEERS.indexOf(s.to()), new String(s.message(), StandardCharsets.ISO_8859_1));
                    sent.add(mailIds.computeIfAbsent(mail, m -> mails.size()));
                    if (mailIds.size() > mails.size()) {
                        mails.add(mail);
                    }
                }
            }
        }
        String value = node.slot() == 0 ? null : new String(node.value(), StandardCharsets.ISO_8859_1);
        String text = i + Image.text(node) + HexFormat.of().formatHex(kept);
        int id = localIds.computeIfAbsent(text, x -> locals.size());
        if (id == locals.size()) {
            locals.add(new Local(i, node, kept, value));
        }
        return new Step(id, sent.stream().mapToInt(x -> x).toArray());
    }

    /** Who learns a decided value from others is of interest here only where that may bring a vote back. */
    private boolean told(int from, Effect.Send s) {
        try {
            Message m = CODEC.read(s.message());
            boolean learns = m instanceof Message.Known || m instanceof Message.Value || m instanceof Message.Want;
            return !learns || (forget && (from == who || PEERS.indexOf(s.to()) == who));
        } catch (Malformed e) {
            throw new AssertionError(e);
        }
    }

    private Step step(int local, int event) {
        return steps.computeIfAbsent(List.of(local, event), x -> {
            Local before = locals.get(local);
            int i = before.me;
            if (event == CRASH) {
                Register node = node(i, T + 1, forget ? null : before.kept);
                if (node.slot() == 0) {
                    node.propose(T, node.place(), ("again" + i).getBytes(StandardCharsets.ISO_8859_1));
                }
                if (forget) {
                    node.tick(T);
                }
                return settle(i, node, before.kept);
            }
            Register node = Image.copy(before.node, node(i, T, null));
            if (event == RETRY) {
                node.tick(T + HOUR / 2);
            } else {
                node.received(
                        T,
                        PEERS.get(mails.get(event).from),
                        mails.get(event).bytes.getBytes(StandardCharsets.ISO_8859_1));
            }
            return settle(i, node, before.kept);
        });
    }

    private World after(World world, int i, int event) {
        Step step = step(world.locals.get(i), event);
        List<Integer> next = new ArrayList<>(world.locals);
        next.set(i, step.local);
        BitSet net = (BitSet) world.net.clone();
        for (int mail : step.sent) {
            net.set(mail);
        }
        return new World(next, world.crashes - (event == CRASH ? 1 : 0), world.retries - (event == RETRY ? 1 : 0), net);
    }

    private ModelTest crash(int peer, boolean forgets) {
        who = peer;
        forget = forgets;
        return this;
    }

    /**
     * How many states there are; if more than {@code most}, less than 0: all histories of that many steps were gone
     * through.
     */
    private int explore(int retries, int crashes, int most) {
        byte[] state = CODEC.write(Memory.BLANK
                .learn(new Place(new Epoch(9, 0, 9), 0), Memory.EMPTY)
                .join());
        List<Integer> begin = new ArrayList<>();
        BitSet net = new BitSet();
        for (int i = 0; i < 3; i++) {
            Register node = node(i, T, state);
            if (i < 2) {
                node.propose(T, node.place(), ("by" + i).getBytes(StandardCharsets.ISO_8859_1));
            }
            Step step = settle(i, node, state);
            begin.add(step.local);
            for (int mail : step.sent) {
                net.set(mail);
            }
        }
        World first = new World(begin, crashes, retries, net);
        Set<World> known = new HashSet<>(Set.of(first));
        ArrayDeque<World> open = new ArrayDeque<>(List.of(first));
        Map<World, Integer> depth = new HashMap<>();
        Set<String> decided = new HashSet<>();
        while (!open.isEmpty()) {
            World world = open.poll();
            List<World> next = new ArrayList<>();
            world.net.stream().forEach(mail -> next.add(after(world, mails.get(mail).to, mail)));
            if (world.crashes > 0) {
                next.add(after(world, who, CRASH));
            }
            boolean refused = world.net.stream()
                    .anyMatch(m -> mails.get(m).to == 0 && mails.get(m).bytes.charAt(1) == 9);
            if (world.retries > 0 && refused) {
                next.add(after(world, 0, RETRY));
            }
            for (World each : next) {
                if (!known.add(each)) {
                    continue;
                }
                depth.put(each, depth.getOrDefault(world, 0) + 1);
                check(each, decided);
                open.add(each);
            }
            if (known.size() > most) {
                return -depth.getOrDefault(world, 0);
            }
        }
        assertTrue(decided.containsAll(Set.of("by0", "by1")), () -> "either can win: " + decided);
        return known.size();
    }

    private void check(World world, Set<String> decided) {
        Set<String> values = new HashSet<>();
        for (int local : world.locals) {
            if (locals.get(local).value != null) {
                values.add(locals.get(local).value);
            }
        }
        assertTrue(values.size() <= 1, () -> "two values of a slot: " + values);
        decided.addAll(values);
    }

    @Test
    void twoProposers() {
        assertTrue(explore(0, 0, 10_000) > 3_000, "all histories");
    }

    @Test
    void theRefusedOneTriesAgain() {
        deep(explore(1, 0, 300_000));
    }

    @Test
    void voterForgets() {
        deep(crash(2, true).explore(0, 1, 300_000));
    }

    @Test
    void proposerForgets() {
        deep(crash(0, true).explore(0, 1, 300_000));
    }

    @Test
    void proposerRemembers() {
        deep(crash(1, false).explore(0, 1, 300_000));
    }

    private static void deep(int states) {
        assertTrue(states > 0 || states <= -10, "gone through to depth " + -states);
    }
}
