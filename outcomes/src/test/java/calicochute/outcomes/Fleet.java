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
 * A fleet in virtual time: each balancer's Ledger and Sharing, ticked every 100 ms; datagrams of up to 1,200 bytes (60
 * of them envelope, 12 or 24 with each body), bundled by peer and tick, each lost with a chance of 10% or here after 1
 * to 30 ms. Rows go straight to each peer, without repair. A tenth of the outcomes known by name: every so many
 * balancers count one dispatch a window of a subject that is theirs alone, so that its row tells who knows of it.
 */
final class Fleet {
    static final long START = 1_000_000_000;
    private static final int TICK = 100_000;
    private static final int PROBES = 30;
    private final SplittableRandom random;
    private final int sessions;
    private final Limits limits;
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Member> byName = new HashMap<>();
    private final List<Subject> servers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Long> told = new HashMap<>();
    private long order;
    private long now = START;
    /** Of each probe's outcome the share of balancers that know it 2 s after its window closed. */
    final List<Double> known = new ArrayList<>();
    /** Of each balancer and window the share of all dispatches in its rows, 2 s after the window closed everywhere. */
    final List<Double> shares = new ArrayList<>();

    private record Event(long at, long order, Runnable what) {}

    private record Item(boolean direct, String key, long version, byte[] body) {
        int size() {
            return body.length + (direct ? 12 : 24);
        }
    }

    final class Member implements Carrier {
        final String name;
        final Ledger ledger = new Ledger(Windows.USUAL, 3_000_000);
        final Sharing sharing;
        final Map<String, List<Item>> out = new HashMap<>();
        final Subject probe;
        long bytes;
        int held;

        Member(int number) {
            name = "balancer-" + number;
            sharing = new Sharing(new Origin(name, 1), Windows.USUAL, this, limits);
            probe = number % PROBES == 0
                    ? new Subject(servers.get(random.nextInt(servers.size())).server(), 1, "a", "probe-" + number)
                    : null;
        }

        @Override
        public void direct(String peer, byte[] body) {
            out.computeIfAbsent(peer, p -> new ArrayList<>()).add(new Item(true, "", 0, body));
        }

        @Override
        public void spread(String key, long version, byte[] body) {
            byName.keySet().stream()
                    .filter(p -> !p.equals(name))
                    .forEach(p ->
                            out.computeIfAbsent(p, q -> new ArrayList<>()).add(new Item(false, key, version, body)));
        }

        @Override
        public Set<String> live() {
            return byName.keySet();
        }

        void tick() {
            for (Closed closed : ledger.close(now)) {
                sharing.closed(now, closed);
                told.merge(
                        closed.window(),
                        closed.tallies().values().stream()
                                .mapToLong(Tally::total)
                                .sum(),
                        Long::sum);
                if (probe != null && closed.tallies().containsKey(probe)) {
                    after(
                            2_000_000,
                            () -> known.add(members.stream()
                                            .filter(m -> m.knows(probe, closed.window()))
                                            .count()
                                    / (double) members.size()));
                }
            }
            sharing.tick(now);
            held = Math.max(held, sharing.held());
            out.keySet().stream().sorted().forEach(peer -> flush(byName.get(peer), out.get(peer)));
            out.clear();
            after(TICK, this::tick);
        }

        private void flush(Member to, List<Item> items) {
            List<Item> datagram = new ArrayList<>();
            int size = 60;
            for (Item item : items) {
                if (size + item.size() > 1200) {
                    send(to, datagram, size);
                    datagram = new ArrayList<>();
                    size = 60;
                }
                datagram.add(item);
                size += item.size();
            }
            send(to, datagram, size);
        }

        private void send(Member to, List<Item> items, int size) {
            bytes += size;
            if (random.nextInt(10) > 0) {
                after(random.nextInt(1000, 30_000), () -> {
                    to.bytes += size;
                    for (Item item : items) {
                        if (item.direct) {
                            to.sharing.heardDirect(now, name, 1, item.body);
                        } else {
                            to.sharing.heardSpread(now, name, 1, item.key, item.version, item.body);
                        }
                    }
                });
            }
        }

        boolean knows(Subject subject, long window) {
            return sharing.held(subject.hash(), window) != null;
        }

        /** Sessions of 5 to 400 ms, one in a hundred up to 3 s. */
        void session() {
            long window = ledger.assign(now);
            Subject of = servers.get(random.nextInt(servers.size()));
            long took = random.nextInt(100) == 0 ? random.nextLong(3_000_000) : random.nextLong(5000, 400_000);
            after(took, () -> {
                ledger.count(window, of, took < 300_000 ? End.IN_AIM : End.LATE, Math.log(200_000.0 / took));
                ledger.over(window);
            });
        }

        void second() {
            for (int i = 0; i < sessions; i++) {
                after(random.nextInt(1_000_000), this::session);
            }
            if (probe != null && now / 1_000_000 % 2 == 0) {
                long window = ledger.assign(now);
                ledger.count(window, probe, End.IN_AIM, 0);
                ledger.over(window);
            }
            after(1_000_000, this::second);
        }
    }

    /** Sessions: of each balancer in a second. */
    Fleet(int balancers, int backends, int sessions, long seed) {
        this(balancers, backends, sessions, seed, Limits.USUAL);
    }

    private Fleet(int balancers, int backends, int sessions, long seed, Limits limits) {
        this.limits = limits;
        random = new SplittableRandom(seed);
        this.sessions = sessions;
        for (int i = 0; i < backends; i++) {
            servers.add(new Subject("server-" + i, 1, "a", ""));
        }
        for (int i = 0; i < balancers; i++) {
            members.add(new Member(i));
        }
        members.forEach(m -> byName.put(m.name, m));
        Set<Subject> subjects = new HashSet<>(servers);
        members.stream().filter(m -> m.probe != null).forEach(m -> subjects.add(m.probe));
        for (Member member : members) {
            member.sharing.known(subjects);
            after(random.nextInt(TICK), member::tick);
            after(0, member::second);
        }
    }

    private void after(long delay, Runnable what) {
        events.add(new Event(now + delay, order++, what));
    }

    void run(long length) {
        for (long window = Windows.USUAL.number(START);
                Windows.USUAL.end(window) + 5_000_000 <= START + length;
                window++) {
            long number = window;
            events.add(new Event(
                    Windows.USUAL.end(window) + 5_000_000,
                    order++,
                    () -> members.forEach(m -> shares.add(m.sharing.picture().rows(now).stream()
                                    .filter(r -> r.window() == number)
                                    .mapToLong(r -> r.sum().total())
                                    .sum()
                            / (double) told.get(number)))));
        }
        long end = START + length;
        while (events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
    }

    /** Bytes a second in and out together, of each balancer, least first. */
    long[] rates() {
        return members.stream()
                .mapToLong(m -> m.bytes * 1_000_000 / (now - START))
                .sorted()
                .toArray();
    }

    int held() {
        return members.stream().mapToInt(m -> m.held).max().orElse(0);
    }

    List<Member> members() {
        return members;
    }

    /** The share that all but one in twenty reach. */
    static double mostReach(List<Double> of) {
        return of.stream().sorted().skip(of.size() / 20).findFirst().orElse(0.0);
    }

    /** Balancers, backends, sessions a second at each, seconds, bytes a second published, sends. */
    public static void main(String[] args) {
        Fleet fleet = new Fleet(
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
        long[] rates = fleet.rates();
        System.out.printf(
                "known 2 s after: mean %.4f most %.4f least %.4f of %d; shares: mean %.4f most %.4f least %.4f of %d; B/s: median %d 99%% %d most %d; held: %d; heap %d kB a balancer%n",
                fleet.known.stream().mapToDouble(d -> d).average().orElse(0),
                mostReach(fleet.known),
                fleet.known.stream().mapToDouble(d -> d).min().orElse(0),
                fleet.known.size(),
                fleet.shares.stream().mapToDouble(d -> d).average().orElse(0),
                mostReach(fleet.shares),
                fleet.shares.stream().mapToDouble(d -> d).min().orElse(0),
                fleet.shares.size(),
                rates[rates.length / 2],
                rates[rates.length * 99 / 100],
                rates[rates.length - 1],
                fleet.held(),
                (heap() - before) / 1024 / fleet.members.size());
        System.out.println(fleet.members.get(0).sharing.counts().all());
    }

    private static long heap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
