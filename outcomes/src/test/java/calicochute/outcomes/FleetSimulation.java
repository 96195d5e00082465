package calicochute.outcomes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates a fleet in virtual time with the real {@link WindowCounter} and {@link OutcomeSharing} of each balancer,
 * ticked every 100 ms. Datagrams have up to 1,200 bytes (60 of them envelope, plus 12 or 24 with each body) and are
 * bundled by peer and tick. Each is lost with a probability of 10% or arrives after 1 to 30 ms. Rows go directly to
 * each peer, without repair of losses.
 *
 * <p>Every 30th balancer is a probe: it counts one dispatch in each window under a key that no other balancer uses, so
 * that the row of this key shows which balancers know of that dispatch.
 */
final class FleetSimulation {
    static final long START_MICROS = 1_000_000_000;
    private static final int TICK_MICROS = 100_000;
    /** One balancer in so many is a probe. */
    private static final int PROBE_INTERVAL = 30;

    private static final int ENVELOPE_BYTES = 60;
    private static final int MAX_DATAGRAM_BYTES = 1200;
    private final SplittableRandom random;
    private final int sessionsPerSecond;
    private final Limits limits;
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Member> byName = new HashMap<>();
    private final List<OutcomeKey> servers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Long> reported = new HashMap<>();
    private long order;
    private long now = START_MICROS;
    /** For each dispatch of a probe the share of balancers that know it 2 s after its window closed. */
    final List<Double> probeShares = new ArrayList<>();
    /**
     * For each balancer and window the share of all dispatches in its rows, 5 s after the window's end: 2 s after it is
     * closed everywhere, since the longest deadline is 3 s.
     */
    final List<Double> dispatchShares = new ArrayList<>();

    private record Event(long at, long order, Runnable action) {}

    /** A body in a datagram: a report to an owner, or published rows. */
    private record Item(boolean report, String key, long version, byte[] body) {
        int size() {
            return body.length + (report ? 12 : 24);
        }
    }

    final class Member implements Transport {
        final String name;
        final WindowCounter counter = new WindowCounter(Windows.DEFAULT, 3_000_000);
        final OutcomeSharing sharing;
        final Map<String, List<Item>> outgoing = new HashMap<>();
        final OutcomeKey probe;
        /** Sent and received. */
        long bytes;

        int maxStored;

        Member(int number) {
            name = "balancer-" + number;
            sharing = new OutcomeSharing(new Origin(name, 1), Windows.DEFAULT, this, limits);
            probe = number % PROBE_INTERVAL == 0
                    ? new OutcomeKey(servers.get(random.nextInt(servers.size())).server(), 1, "a", "probe-" + number)
                    : null;
        }

        @Override
        public void send(String peer, byte[] body) {
            outgoing.computeIfAbsent(peer, p -> new ArrayList<>()).add(new Item(true, "", 0, body));
        }

        @Override
        public void broadcast(String key, long version, byte[] body) {
            byName.keySet().stream()
                    .filter(p -> !p.equals(name))
                    .forEach(p -> outgoing.computeIfAbsent(p, q -> new ArrayList<>())
                            .add(new Item(false, key, version, body)));
        }

        @Override
        public Set<String> live() {
            return byName.keySet();
        }

        void tick() {
            for (ClosedWindow closed : counter.close(now)) {
                sharing.onWindowClosed(now, closed);
                reported.merge(
                        closed.window(),
                        closed.tallies().values().stream()
                                .mapToLong(Tally::total)
                                .sum(),
                        Long::sum);
                if (probe != null && closed.tallies().containsKey(probe)) {
                    after(
                            2_000_000,
                            () -> probeShares.add(members.stream()
                                            .filter(m -> m.knows(probe, closed.window()))
                                            .count()
                                    / (double) members.size()));
                }
            }
            sharing.tick(now);
            maxStored = Math.max(maxStored, sharing.size());
            outgoing.keySet().stream().sorted().forEach(peer -> flush(byName.get(peer), outgoing.get(peer)));
            outgoing.clear();
            after(TICK_MICROS, this::tick);
        }

        private void flush(Member receiver, List<Item> items) {
            List<Item> datagram = new ArrayList<>();
            int size = ENVELOPE_BYTES;
            for (Item item : items) {
                if (size + item.size() > MAX_DATAGRAM_BYTES) {
                    deliver(receiver, datagram, size);
                    datagram = new ArrayList<>();
                    size = ENVELOPE_BYTES;
                }
                datagram.add(item);
                size += item.size();
            }
            deliver(receiver, datagram, size);
        }

        private void deliver(Member receiver, List<Item> items, int size) {
            bytes += size;
            if (random.nextInt(10) > 0) {
                after(random.nextInt(1000, 30_000), () -> {
                    receiver.bytes += size;
                    for (Item item : items) {
                        if (item.report) {
                            receiver.sharing.onReport(now, name, 1, item.body);
                        } else {
                            receiver.sharing.onRows(now, name, 1, item.key, item.version, item.body);
                        }
                    }
                });
            }
        }

        boolean knows(OutcomeKey key, long window) {
            return sharing.find(key.hash(), window) != null;
        }

        /** Starts a session of 5 to 400 ms, or up to 3 s for one in a hundred. */
        void startSession() {
            long window = counter.beginSession(now);
            OutcomeKey key = servers.get(random.nextInt(servers.size()));
            long durationMicros =
                    random.nextInt(100) == 0 ? random.nextLong(3_000_000) : random.nextLong(5000, 400_000);
            after(durationMicros, () -> {
                counter.record(
                        window,
                        key,
                        durationMicros < 300_000 ? DispatchResult.WITHIN_OBJECTIVE : DispatchResult.LATE,
                        Math.log(200_000.0 / durationMicros));
                counter.endSession(window);
            });
        }

        void startSecond() {
            for (int i = 0; i < sessionsPerSecond; i++) {
                after(random.nextInt(1_000_000), this::startSession);
            }
            if (probe != null && now / 1_000_000 % 2 == 0) {
                long window = counter.beginSession(now);
                counter.record(window, probe, DispatchResult.WITHIN_OBJECTIVE, 0);
                counter.endSession(window);
            }
            after(1_000_000, this::startSecond);
        }
    }

    /** @param sessionsPerSecond sessions that each balancer starts in a second */
    FleetSimulation(int balancers, int backends, int sessionsPerSecond, long seed) {
        this(balancers, backends, sessionsPerSecond, seed, Limits.DEFAULT);
    }

    private FleetSimulation(int balancers, int backends, int sessionsPerSecond, long seed, Limits limits) {
        this.limits = limits;
        random = new SplittableRandom(seed);
        this.sessionsPerSecond = sessionsPerSecond;
        for (int i = 0; i < backends; i++) {
            servers.add(new OutcomeKey("server-" + i, 1, "a", ""));
        }
        for (int i = 0; i < balancers; i++) {
            members.add(new Member(i));
        }
        members.forEach(m -> byName.put(m.name, m));
        Set<OutcomeKey> keys = new HashSet<>(servers);
        members.stream().filter(m -> m.probe != null).forEach(m -> keys.add(m.probe));
        for (Member member : members) {
            member.sharing.setKnownKeys(keys);
            after(random.nextInt(TICK_MICROS), member::tick);
            after(0, member::startSecond);
        }
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    void run(long length) {
        for (long window = Windows.DEFAULT.number(START_MICROS);
                Windows.DEFAULT.end(window) + 5_000_000 <= START_MICROS + length;
                window++) {
            long number = window;
            events.add(new Event(
                    Windows.DEFAULT.end(window) + 5_000_000,
                    order++,
                    () -> members.forEach(m -> dispatchShares.add(m.sharing.snapshot().rows(now).stream()
                                    .filter(r -> r.window() == number)
                                    .mapToLong(r -> r.sum().total())
                                    .sum()
                            / (double) reported.get(number)))));
        }
        long end = START_MICROS + length;
        while (events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
    }

    /** Bytes a second sent and received together by each balancer, in ascending order. */
    long[] bytesPerSecond() {
        return members.stream()
                .mapToLong(m -> m.bytes * 1_000_000 / (now - START_MICROS))
                .sorted()
                .toArray();
    }

    int maxStored() {
        return members.stream().mapToInt(m -> m.maxStored).max().orElse(0);
    }

    List<Member> members() {
        return members;
    }

    /** The value that all but one in twenty reach. */
    static double fifthPercentile(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 20).findFirst().orElse(0.0);
    }

    /** Arguments: balancers, backends, sessions a second at each balancer, seconds, bytes published a second, sends. */
    public static void main(String[] args) {
        FleetSimulation fleet = new FleetSimulation(
                Integer.parseInt(args[0]),
                Integer.parseInt(args[1]),
                Integer.parseInt(args[2]),
                1,
                new Limits(
                        1000,
                        1024,
                        256,
                        1_000_000,
                        1024,
                        32_768,
                        10,
                        2,
                        30,
                        3,
                        300_000,
                        Integer.parseInt(args[5]),
                        500_000,
                        1_000_000,
                        Long.parseLong(args[4])));
        long before = heap();
        fleet.run(Long.parseLong(args[3]) * 1_000_000);
        fleet.events.clear();
        long[] rates = fleet.bytesPerSecond();
        System.out.printf(
                "known after 2 s: mean %.4f p5 %.4f min %.4f of %d; share of dispatches: mean %.4f p5 %.4f min %.4f of %d; B/s: median %d p99 %d max %d; stored entries: %d; heap %d kB a balancer%n",
                fleet.probeShares.stream().mapToDouble(d -> d).average().orElse(0),
                fifthPercentile(fleet.probeShares),
                fleet.probeShares.stream().mapToDouble(d -> d).min().orElse(0),
                fleet.probeShares.size(),
                fleet.dispatchShares.stream().mapToDouble(d -> d).average().orElse(0),
                fifthPercentile(fleet.dispatchShares),
                fleet.dispatchShares.stream().mapToDouble(d -> d).min().orElse(0),
                fleet.dispatchShares.size(),
                rates[rates.length / 2],
                rates[rates.length * 99 / 100],
                rates[rates.length - 1],
                fleet.maxStored(),
                (heap() - before) / 1024 / fleet.members.size());
        System.out.println(fleet.members.get(0).sharing.counts().all());
    }

    private static long heap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
