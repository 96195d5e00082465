package calicochute.gossip;

import static calicochute.gossip.SimulatedCluster.SECOND;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * Lost, late and repeated datagrams, partitions, clock offsets, pauses and restarts must not leave balancers with
 * different views: once the faults have ended, all agree on the live members and on every entry.
 */
class ConvergenceTest {
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void viewsAndEntriesConvergeAfterFaultsEnd(@ForAll @IntRange(min = 2, max = 9) int size, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(size, seed);
        cluster.tickInterval = random.nextBoolean() ? 50_000 : 100_000;
        for (int i = 0; i < size; i++) {
            cluster.node(i).clockOffset = random.nextLong(-SECOND, SECOND);
        }
        cluster.run(2 * SECOND);
        for (int step = 0; step < 12; step++) {
            injectFault(cluster, random, size);
            for (int count = random.nextInt(4); count > 0; count--) {
                SimulatedCluster.Node author = cluster.node(random.nextInt(size));
                if (author.running) {
                    author.publish(
                            "key " + random.nextInt(12), author.now() + random.nextInt(5), author.now() + 600 * SECOND);
                }
            }
            cluster.run(random.nextLong(100_000, 4 * SECOND));
        }
        cluster.lossRate = 0;
        cluster.duplicationRate = 0;
        cluster.maxDelay = 2_000;
        cluster.blocked = (from, to) -> false;
        cluster.run(4 * SECOND); // longer than the longest pause
        Set<String> running = cluster.runningIds();
        long took = cluster.runUntil(8 * SECOND, () -> cluster.allSee(running) && cluster.sameEntries());
        if (took < 0) {
            StringBuilder message = new StringBuilder("no agreement; running members: " + running);
            cluster.running()
                    .forEach(node -> message.append('\n')
                            .append(node.id)
                            .append(' ')
                            .append(node.gossip.statuses())
                            .append(node.versions));
            throw new AssertionError(message.toString());
        }
        cluster.run(5 * SECOND);
        if (!cluster.allSee(running) || !cluster.sameEntries()) {
            throw new AssertionError("views or entries diverged again");
        }
    }

    private static void injectFault(SimulatedCluster cluster, SplittableRandom random, int size) {
        SimulatedCluster.Node node = cluster.node(random.nextInt(size));
        switch (random.nextInt(8)) {
            case 0 -> cluster.lossRate = random.nextDouble(0.5);
            case 1 ->
                cluster.maxDelay = random.nextLong(1_000, 800_000); // long enough for datagrams to overtake each other
            case 2 -> cluster.duplicationRate = random.nextDouble();
            case 3 -> {
                node.running = false;
                cluster.nodes.get(node.id).clockOffset = 0;
            }
            case 4 -> {
                node.running = false;
                cluster.start(node.id);
            }
            case 5 -> cluster.pause(node, random.nextLong(200_000, 4 * SECOND));
            case 6 -> {
                Set<String> blockedLinks = new HashSet<>();
                for (int i = random.nextInt(1, 2 * size); i > 0; i--) {
                    blockedLinks.add(cluster.node(random.nextInt(size)).id + cluster.node(random.nextInt(size)).id);
                }
                cluster.blocked = (from, to) -> blockedLinks.contains(from + to);
            }
            default -> {
                String boundary = cluster.node(random.nextInt(size)).id;
                cluster.blocked = (from, to) -> (from.compareTo(boundary) < 0) != (to.compareTo(boundary) < 0);
            }
        }
    }
}
