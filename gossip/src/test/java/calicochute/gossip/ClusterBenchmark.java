package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Measures traffic, replication delay and failure detection of a simulated cluster; not run in CI. Arguments: members,
 * loss rate, seconds, tick interval in ms.
 */
public final class ClusterBenchmark {
    public static void main(String[] args) {
        if (args[0].equals("drops")) {
            measureFalseDrops(args);
            return;
        }
        int size = Integer.parseInt(args[0]);
        double lossRate = Double.parseDouble(args[1]);
        int seconds = Integer.parseInt(args[2]);
        SimulatedCluster cluster = new SimulatedCluster(size, 7);
        cluster.tickInterval = Long.parseLong(args[3]) * 1_000;
        cluster.lossRate = lossRate;
        long beginNanos = System.nanoTime();
        System.out.println("all members live in every view after (ms): "
                + cluster.runUntil(30 * SimulatedCluster.SECOND, () -> cluster.allSee(cluster.runningIds())) / 1_000);
        cluster.run(3 * SimulatedCluster.SECOND);
        measureTraffic(cluster, seconds, "membership and digests only", false);
        measureTraffic(cluster, seconds, "180 entries of 120 B in 2 s", true);
        measureFailureDetection(cluster);
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        System.out.printf(
                "heap per balancer, with its part of the simulated network (kB): %d%n",
                (runtime.totalMemory() - runtime.freeMemory()) / 1_000 / size);
        System.out.println("real seconds: " + (System.nanoTime() - beginNanos) / 1_000_000_000);
    }

    /**
     * Counts suspicions and drops while every member keeps running, so that each one is false. Arguments: the word
     * "drops", members, loss rate, seconds.
     */
    private static void measureFalseDrops(String[] args) {
        SimulatedCluster cluster = new SimulatedCluster(Integer.parseInt(args[1]), 8);
        cluster.run(5 * SimulatedCluster.SECOND);
        cluster.lossRate = Double.parseDouble(args[2]);
        cluster.run(5 * SimulatedCluster.SECOND);
        long suspicions = cluster.sum(Metric.SUSPICIONS_OWN);
        long drops = cluster.sum(Metric.DROPS);
        int seconds = Integer.parseInt(args[3]);
        long missing = 0;
        for (int i = 0; i < seconds * 2; i++) {
            cluster.run(SimulatedCluster.SECOND / 2);
            missing += cluster.running()
                    .mapToLong(node -> cluster.list.size() - node.gossip.live().size())
                    .sum();
        }
        System.out.printf(
                "%s members, loss %s, %d s: suspicions %d, drops seen %d, live members missing from a view, on average: %.6f%n",
                args[1],
                args[2],
                seconds,
                cluster.sum(Metric.SUSPICIONS_OWN) - suspicions,
                cluster.sum(Metric.DROPS) - drops,
                missing / 2.0 / seconds / cluster.list.size());
    }

    private static void measureTraffic(SimulatedCluster cluster, int seconds, String title, boolean withEntries) {
        Metric[] reported = {
            Metric.DATAGRAMS_OUT,
            Metric.BYTES_OUT,
            Metric.BYTES_IN,
            Metric.DATAGRAMS_IN,
            Metric.SUSPICIONS_OWN,
            Metric.DROPS,
            Metric.RETURNS,
            Metric.TAKEN,
            Metric.TAKEN_BY_REPAIR,
            Metric.REPAIRS_SENT,
            Metric.DIGESTS
        };
        long[] before = Arrays.stream(reported).mapToLong(cluster::sum).toArray();
        int size = cluster.list.size();
        List<Long> delays = new ArrayList<>();
        long missed = 0;
        long realNanos = System.nanoTime();
        for (int window = 0; window < seconds / 2; window++) {
            List<String> keys = new ArrayList<>();
            long begin = cluster.now;
            for (int row = 0; withEntries && row < 180; row++) {
                SimulatedCluster.Node author = cluster.node(cluster.random.nextInt(size));
                String key = "server-" + row % 60 + "|lane|" + row / 60;
                author.gossip.publish(
                        cluster.now, 1, key, window, new byte[100], cluster.now + 20 * SimulatedCluster.SECOND);
                keys.add(key + " " + window);
                author.receivedAt.put(key + " " + window, cluster.now);
            }
            cluster.run(2 * SimulatedCluster.SECOND);
            for (String key : keys) {
                for (SimulatedCluster.Node node : cluster.nodes.values()) {
                    Long receivedAt = node.receivedAt.remove(key);
                    if (receivedAt == null) {
                        missed++;
                    } else {
                        delays.add(receivedAt - begin);
                    }
                }
            }
        }
        System.out.println("== " + title);
        realNanos = System.nanoTime() - realNanos;
        double[] rates = new double[reported.length];
        for (int i = 0; i < reported.length; i++) {
            rates[i] = (cluster.sum(reported[i]) - before[i]) / (double) seconds / size;
            System.out.printf("  %s per second and balancer: %.4f%n", reported[i], rates[i]);
        }
        System.out.printf(
                "  kB/s sent and received, with UDP and IP headers: %.2f%n",
                (rates[1] + rates[2] + 28 * (rates[0] + rates[3])) / 1_000);
        System.out.printf(
                "  CPU share of one balancer, with the simulated network: %.3f%%%n",
                100.0 * realNanos / 1e9 / seconds / size);
        if (withEntries) {
            delays.sort(null);
            long all = delays.size() + missed;
            for (long ms : new long[] {200, 300, 500, 1_000, 2_000}) {
                System.out.printf(
                        "  received within %d ms: %.3f%%%n",
                        ms,
                        100.0
                                * delays.stream()
                                        .filter(delay -> delay <= ms * 1_000)
                                        .count()
                                / all);
            }
        }
    }

    /** Stops members one at a time; measures how long it takes until the first, 99% and all of the others drop them. */
    private static void measureFailureDetection(SimulatedCluster cluster) {
        List<Long> first = new ArrayList<>();
        List<Long> nearlyAll = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        int times = Math.min(40, cluster.list.size() / 3);
        for (int i = 0; i < times; i++) {
            SimulatedCluster.Node stopped = cluster.node(i);
            stopped.running = false;
            long begin = cluster.now;
            long others = cluster.running().count();
            first.add(cluster.runUntil(
                    10 * SimulatedCluster.SECOND,
                    () -> cluster.running().anyMatch(node -> !node.gossip.live().contains(stopped.id))));
            cluster.runUntil(
                    10 * SimulatedCluster.SECOND,
                    () -> cluster.running()
                                    .filter(node -> !node.gossip.live().contains(stopped.id))
                                    .count()
                            >= others * 0.99);
            nearlyAll.add(cluster.now - begin);
            cluster.runUntil(
                    10 * SimulatedCluster.SECOND,
                    () -> cluster.running().noneMatch(node -> node.gossip.live().contains(stopped.id)));
            all.add(cluster.now - begin);
            cluster.start(stopped.id);
            cluster.run(2 * SimulatedCluster.SECOND);
        }
        print("first member drops it", first);
        print("99% dropped it", nearlyAll);
        print("all dropped it", all);
    }

    private static void print(String label, List<Long> times) {
        times.sort(null);
        System.out.printf(
                "one member stopped, %s (ms): median %d, 95%% %d, maximum %d of %d%n",
                label,
                times.get(times.size() / 2) / 1_000,
                times.get(times.size() * 95 / 100) / 1_000,
                times.get(times.size() - 1) / 1_000,
                times.size());
    }

    private ClusterBenchmark() {}
}
