package calicochute.experiment.seal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Registers on one simulated net; checks with each step that no slot has two values. */
final class Fleet {
    private record Mail(long at, long number, int to, int from, byte[] bytes) {}

    static final long MILLI = 1_000;
    final List<String> ids = new ArrayList<>();
    final Register[] nodes;
    final byte[][] kept;
    final boolean[] remembers;
    final boolean[] stopped;
    final int[] side;
    final List<Effect.Begun> lost = new ArrayList<>();
    private final Map<Place, String> values = new HashMap<>();
    private final PriorityQueue<Mail> net =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final SplittableRandom random;
    long now = 1_000_000_000;
    double loss;
    double twice;
    long delay = 5 * MILLI;
    boolean turns = true;
    private long number;
    long sent;

    Fleet(int many, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < many; i++) {
            ids.add(String.format("lb-%03d", i));
        }
        nodes = new Register[many];
        kept = new byte[many][];
        remembers = new boolean[many];
        stopped = new boolean[many];
        side = new int[many];
        for (int i = 0; i < many; i++) {
            restart(i, false);
        }
    }

    void restart(int i, boolean memory) {
        if (!memory) {
            kept[i] = null;
        }
        remembers[i] |= memory;
        nodes[i] = new Register("checkout", 7, ids, ids.get(i), ++now, remembers[i], kept[i], Timing.USUAL);
    }

    void effects(int i) {
        List<Effect> effects;
        while (!(effects = nodes[i].effects()).isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Persist p) {
                    kept[i] = p.state();
                    nodes[i].persisted(p.token());
                } else if (effect instanceof Effect.Send s) {
                    send(i, ids.indexOf(s.to()), s.message());
                } else if (effect instanceof Effect.Begun b && b.lost()) {
                    lost.add(b);
                }
            }
            check(nodes[i]);
        }
    }

    private void check(Register node) {
        if (node.slot() == 0) {
            return;
        }
        String value = new String(node.value());
        String other = values.putIfAbsent(node.place(), value);
        if (other != null && !other.equals(value)) {
            throw new AssertionError(node.place() + " is " + other + " and " + value);
        }
    }

    private void send(int from, int to, byte[] bytes) {
        sent++;
        for (int copies = random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
            if (side[from] == side[to] && random.nextDouble() >= loss) {
                net.add(new Mail(now + 1 + random.nextLong(delay), number++, to, from, bytes));
            }
        }
    }

    /** One tick of 100 ms; each node proposes what tells who it is. */
    void tick() {
        long end = now + 100 * MILLI;
        while (!net.isEmpty() && net.peek().at <= end) {
            Mail mail = net.poll();
            now = Math.max(now, mail.at);
            if (stopped[mail.to]) {
                if (random.nextInt(4) == 0) {
                    net.add(new Mail(end + delay, number++, mail.to, mail.from, mail.bytes));
                }
                continue;
            }
            if (side[mail.from] != side[mail.to]) {
                continue;
            }
            nodes[mail.to].received(now, ids.get(mail.from), mail.bytes);
            effects(mail.to);
        }
        now = Math.max(now, end);
        int[] rank = new int[2];
        for (int i = 0; i < nodes.length; i++) {
            if (stopped[i]) {
                continue;
            }
            nodes[i].turn(turns ? rank[side[i]]++ : random.nextInt(3));
            Place place = nodes[i].place();
            nodes[i].propose(now, place, (place.slot() + 1 + " by " + ids.get(i) + " of " + now).getBytes());
            nodes[i].tick(now);
            effects(i);
        }
    }

    void ticks(int many) {
        for (int i = 0; i < many; i++) {
            tick();
        }
    }

    Place newest() {
        Place newest = Place.NONE;
        for (Register node : nodes) {
            if (node.place().compareTo(newest) > 0) {
                newest = node.place();
            }
        }
        return newest;
    }

    /** Heals everything; true if within that many ticks all know a slot that was not decided before, and all vote. */
    boolean heals(int within) {
        loss = 0;
        twice = 0;
        delay = 5 * MILLI;
        turns = true;
        Arrays.fill(stopped, false);
        Arrays.fill(side, 0);
        Place before = newest();
        for (int i = 0; i < within; i++) {
            tick();
            boolean all = true;
            for (Register node : nodes) {
                all &= node.votes() && node.place().compareTo(before) > 0 && node.slot() > 0;
            }
            if (all) {
                return true;
            }
        }
        return false;
    }
}
