package calicochute.gossip;

import calicochute.gossip.Counts.What;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Measures a fleet in virtual time; outside CI. Arguments: members, loss, seconds, tick in ms. Prints what
 * docs/measurements/gossip.md holds.
 */
public final class FleetFigures {
    public static void main(String[] args) {
        if (args[0].equals("drops")) {
            drops(args);
            return;
        }
        int many = Integer.parseInt(args[0]);
        double loss = Double.parseDouble(args[1]);
        int seconds = Integer.parseInt(args[2]);
        Fleet fleet = new Fleet(many, 7);
        fleet.tick = Long.parseLong(args[3]) * 1_000;
        fleet.loss = loss;
        long begun = System.nanoTime();
        System.out.println(
                "all see all after (ms): " + fleet.until(30 * Fleet.SECOND, () -> fleet.allSee(fleet.there())) / 1_000);
        fleet.run(3 * Fleet.SECOND);
        window(fleet, seconds, "membership and digests only", false);
        window(fleet, seconds, "180 rows of 120 B in 2 s", true);
        silence(fleet);
        Runtime heap = Runtime.getRuntime();
        System.gc();
        System.out.printf(
                "heap of one balancer with the stand-in's part (kB): %d%n",
                (heap.totalMemory() - heap.freeMemory()) / 1_000 / many);
        System.out.println("real seconds: " + (System.nanoTime() - begun) / 1_000_000_000);
    }

    /** Arguments: drops MEMBERS LOSS SECONDS: nobody falls silent; who is suspected and dropped all the same. */
    private static void drops(String[] args) {
        Fleet fleet = new Fleet(Integer.parseInt(args[1]), 8);
        fleet.run(5 * Fleet.SECOND);
        fleet.loss = Double.parseDouble(args[2]);
        fleet.run(5 * Fleet.SECOND);
        long suspicions = fleet.sum(What.SUSPICIONS_OWN);
        long drops = fleet.sum(What.DROPS);
        int seconds = Integer.parseInt(args[3]);
        long missing = 0;
        for (int i = 0; i < seconds * 2; i++) {
            fleet.run(Fleet.SECOND / 2);
            missing += fleet.up()
                    .mapToLong(node -> fleet.list.size() - node.gossip.live().size())
                    .sum();
        }
        System.out.printf(
                "%s members, loss %s, %d s: suspicions %d, drops seen %d, live members missing from a view, on average: %.6f%n",
                args[1],
                args[2],
                seconds,
                fleet.sum(What.SUSPICIONS_OWN) - suspicions,
                fleet.sum(What.DROPS) - drops,
                missing / 2.0 / seconds / fleet.list.size());
    }

    private static void window(Fleet fleet, int seconds, String what, boolean rows) {
        What[] told = {
            What.DATAGRAMS_OUT,
            What.BYTES_OUT,
            What.BYTES_IN,
            What.DATAGRAMS_IN,
            What.SUSPICIONS_OWN,
            What.DROPS,
            What.RETURNS,
            What.TAKEN,
            What.TAKEN_BY_REPAIR,
            What.REPAIRS_SENT,
            What.DIGESTS
        };
        long[] before = Arrays.stream(told).mapToLong(fleet::sum).toArray();
        int many = fleet.list.size();
        List<Long> delays = new ArrayList<>();
        long missed = 0;
        long real = System.nanoTime();
        for (int window = 0; window < seconds / 2; window++) {
            List<String> keys = new ArrayList<>();
            long begin = fleet.now;
            for (int row = 0; rows && row < 180; row++) {
                Fleet.Node owner = fleet.node(fleet.random.nextInt(many));
                String key = "server-" + row % 60 + "|lane|" + row / 60;
                owner.gossip.spread(fleet.now, 1, key, window, new byte[100], fleet.now + 20 * Fleet.SECOND);
                keys.add(key + " " + window);
                owner.heardAt.put(key + " " + window, fleet.now);
            }
            fleet.run(2 * Fleet.SECOND);
            for (String key : keys) {
                for (Fleet.Node node : fleet.nodes.values()) {
                    Long at = node.heardAt.remove(key);
                    if (at == null) {
                        missed++;
                    } else {
                        delays.add(at - begin);
                    }
                }
            }
        }
        System.out.println("== " + what);
        real = System.nanoTime() - real;
        double[] per = new double[told.length];
        for (int i = 0; i < told.length; i++) {
            per[i] = (fleet.sum(told[i]) - before[i]) / (double) seconds / many;
            System.out.printf("  %s a second at a balancer: %.4f%n", told[i], per[i]);
        }
        System.out.printf("  kB/s in and out with headers: %.2f%n", (per[1] + per[2] + 28 * (per[0] + per[3])) / 1_000);
        System.out.printf(
                "  core of one balancer, with the network's stand-in: %.3f%%%n", 100.0 * real / 1e9 / seconds / many);
        if (rows) {
            delays.sort(null);
            long all = delays.size() + missed;
            for (long ms : new long[] {200, 300, 500, 1_000, 2_000}) {
                System.out.printf(
                        "  heard within %d ms: %.3f%%%n",
                        ms,
                        100.0 * delays.stream().filter(at -> at <= ms * 1_000).count() / all);
            }
        }
    }

    /** One after the other falls silent: time until the first, until 99% and until all others have dropped it. */
    private static void silence(Fleet fleet) {
        List<Long> first = new ArrayList<>();
        List<Long> nearlyAll = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        int times = Math.min(40, fleet.list.size() / 3);
        for (int i = 0; i < times; i++) {
            Fleet.Node silent = fleet.node(i);
            silent.up = false;
            long begin = fleet.now;
            long many = fleet.up().count();
            first.add(fleet.until(
                    10 * Fleet.SECOND,
                    () -> fleet.up().anyMatch(node -> !node.gossip.live().contains(silent.id))));
            fleet.until(
                    10 * Fleet.SECOND,
                    () -> fleet.up()
                                    .filter(node -> !node.gossip.live().contains(silent.id))
                                    .count()
                            >= many * 0.99);
            nearlyAll.add(fleet.now - begin);
            fleet.until(
                    10 * Fleet.SECOND,
                    () -> fleet.up().noneMatch(node -> node.gossip.live().contains(silent.id)));
            all.add(fleet.now - begin);
            fleet.start(silent.id);
            fleet.run(2 * Fleet.SECOND);
        }
        tell("first drops it", first);
        tell("99% dropped it", nearlyAll);
        tell("all dropped it", all);
    }

    private static void tell(String what, List<Long> times) {
        times.sort(null);
        System.out.printf(
                "silence of one, %s (ms): median %d, 95%% %d, most %d of %d%n",
                what,
                times.get(times.size() / 2) / 1_000,
                times.get(times.size() * 95 / 100) / 1_000,
                times.get(times.size() - 1) / 1_000,
                times.size());
    }

    private FleetFigures() {}
}
