package calicochute.gossip;

import static calicochute.gossip.Fleet.SECOND;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** After any drawn faults have healed all agree on who is there and on every entry. */
class FaultsTest {
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void allAgreeOnceFaultsHaveHealed(@ForAll @IntRange(min = 2, max = 9) int many, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(many, seed);
        fleet.tick = random.nextBoolean() ? 50_000 : 100_000;
        for (int i = 0; i < many; i++) {
            fleet.node(i).clock = random.nextLong(-SECOND, SECOND);
        }
        fleet.run(2 * SECOND);
        for (int step = 0; step < 12; step++) {
            fault(fleet, random, many);
            for (int entry = random.nextInt(4); entry > 0; entry--) {
                Fleet.Node author = fleet.node(random.nextInt(many));
                if (author.up) {
                    author.spread(
                            "key " + random.nextInt(12), author.now() + random.nextInt(5), author.now() + 600 * SECOND);
                }
            }
            fleet.run(random.nextLong(100_000, 4 * SECOND));
        }
        fleet.loss = 0;
        fleet.repeated = 0;
        fleet.longestDelay = 2_000;
        fleet.cut = (from, to) -> false;
        fleet.run(4 * SECOND); // the longest pause is over
        Set<String> there = fleet.there();
        long took = fleet.until(8 * SECOND, () -> fleet.allSee(there) && fleet.sameEntries());
        if (took < 0) {
            StringBuilder views = new StringBuilder("no agreement; there are " + there);
            fleet.up()
                    .forEach(node -> views.append('\n')
                            .append(node.id)
                            .append(' ')
                            .append(node.gossip.presences())
                            .append(node.versions));
            throw new AssertionError(views.toString());
        }
        fleet.run(5 * SECOND);
        if (!fleet.allSee(there) || !fleet.sameEntries()) {
            throw new AssertionError("the agreement did not last");
        }
    }

    private static void fault(Fleet fleet, SplittableRandom random, int many) {
        Fleet.Node node = fleet.node(random.nextInt(many));
        switch (random.nextInt(8)) {
            case 0 -> fleet.loss = random.nextDouble(0.5);
            case 1 -> fleet.longestDelay = random.nextLong(1_000, 800_000); // overtaking too
            case 2 -> fleet.repeated = random.nextDouble();
            case 3 -> {
                node.up = false;
                fleet.nodes.get(node.id).clock = 0;
            }
            case 4 -> {
                node.up = false;
                fleet.start(node.id);
            }
            case 5 -> fleet.pause(node, random.nextLong(200_000, 4 * SECOND));
            case 6 -> {
                Set<String> cuts = new HashSet<>();
                for (int i = random.nextInt(1, 2 * many); i > 0; i--) {
                    cuts.add(fleet.node(random.nextInt(many)).id + fleet.node(random.nextInt(many)).id);
                }
                fleet.cut = (from, to) -> cuts.contains(from + to);
            }
            default -> {
                String at = fleet.node(random.nextInt(many)).id;
                fleet.cut = (from, to) -> (from.compareTo(at) < 0) != (to.compareTo(at) < 0);
            }
        }
    }
}
