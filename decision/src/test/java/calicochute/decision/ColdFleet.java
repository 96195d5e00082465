package calicochute.decision;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Timer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A whole fleet of instances in virtual time, to see what the sum of their sends does to cold servers. */
final class ColdFleet {
    static final long SECOND = 1_000_000;
    static final Rules RULES = new Rules(20_000, 10 * SECOND, 0.32, 8_900_000, 3 * SECOND, 3, 3 * SECOND);
    private static final int SERVERS = 60;
    private static final long ROLL = 10 * SECOND, END = 26 * SECOND, SAMPLE = 50_000;
    /** Slowest that an instance hears of a change. */
    private static final long NOTICE = 1_500_000;
    /** Sessions of the second class are as frequent as those of the first and take four times the work. */
    private static final double[] WORK = {0.4, 1.6};

    /**
     * ROLL: six in ten servers replaced within 7 s. FRESH: and all balancers are new right before. FEW: two servers
     * replaced at once. LOST: all servers replaced within 2 s. WHOLE: all servers and all balancers start. LAST: all
     * servers lost, six of them back 2 s later. LATER: six replaced, all others lost 4 s later. KILLED: half of the
     * balancers end amid the cold starts and are back within a second, a third of those twice. JOIN: half of the
     * servers at first, the others come one after another within 10 s. ILL: a third of the servers that stay turn ill 3
     * s before, of them half fail at once and half are slow.
     */
    enum Day {
        ROLL(0.6, 7 * SECOND),
        FRESH(0.6, 7 * SECOND),
        FEW(0.033, 1),
        LOST(1, 2 * SECOND),
        WHOLE(0, 1),
        LAST(0.1, 1),
        LATER(0.1, 1),
        KILLED(0.6, 7 * SECOND),
        JOIN(0.5, 10 * SECOND),
        ILL(0.5, 7 * SECOND);

        /** Share of the servers. */
        final double replaced;

        final long within;

        Day(double replaced, long within) {
            this.replaced = replaced;
            this.within = within;
        }
    }

    /** {@code perBalancer}: sessions a second of the mean balancer; {@code load}: of what all warm servers bear. */
    record Setup(Day day, int balancers, double perBalancer, double load, long seed, Site site) {
        Setup(Day day, int balancers, double perBalancer, double load, long seed) {
            this(day, balancers, perBalancer, load, seed, PLAIN);
        }
    }

    /**
     * {@code sizes}: drawn from; {@code weights}: the list tells them, more or less; more than one zone: crossing is
     * priced.
     */
    record Site(int servers, double[] sizes, boolean weights, int zones, double coldFrom, long warmUp, double burst) {}

    static final Site PLAIN = new Site(SERVERS, new double[] {1}, false, 1, RULES.coldFrom(), RULES.warmUp(), 1.5);

    /**
     * Worst window of any cold server as a share of its budget, all sends and those of balancers told of the start;
     * servers that were over it, and falls by the rule. {@code use}: work sent to cold servers over what they could do,
     * where sessions were denied within the same second; {@code idle}: longest time one of them had nothing to do then,
     * seconds; share of sessions denied; starts of servers, and how many of those fell by all sends.
     */
    record Result(
            double worst,
            double worstTold,
            int over,
            int broken,
            double use,
            double idle,
            double denied,
            int starts,
            int fell) {}

    private final Setup setup;
    private final SplittableRandom random;
    private final Agenda agenda = new Agenda(SECOND);
    private final List<ColdMachine> machines = new ArrayList<>();
    private final Map<String, ColdMachine> byId = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    /** Of a server of size 1. */
    private final double unit;

    private final Rules rules;
    private long sessions, denied, deniedLately = -SECOND;
    private double possible, sent, longestIdle;

    ColdFleet(Setup setup) {
        this.setup = setup;
        random = new SplittableRandom(setup.seed);
        Site site = setup.site;
        rules = new Rules(
                RULES.answerSlack(),
                RULES.askEvery(),
                site.coldFrom,
                site.warmUp,
                RULES.drainGrace(),
                RULES.fallMultiple(),
                RULES.fall());
        double all = 0;
        for (int i = 0; i < site.servers; i++) {
            all += size(i);
        }
        unit = setup.balancers * setup.perBalancer / setup.load / all;
    }

    private record Open(int cls, boolean again, double work, int attempts, boolean out) {
        Open sent(int count, boolean isOut) {
            return new Open(cls, again, work, count, isOut);
        }
    }

    /** One balancer's host. */
    private final class Node implements Actions {
        final double rate;
        final int me;
        final String zone;
        boolean dead;
        final Map<String, Long> told = new HashMap<>();
        final Map<Long, Open> open = new HashMap<>();
        Balancer balancer;

        Node(int me, double rate) {
            this.me = me;
            this.rate = rate;
            // Balancers lie unevenly over zones, and not as servers do.
            zone = "z" + (setup.site.zones == 1 ? 0 : (int) (setup.site.zones * Math.pow(random.nextDouble(), 2)));
        }

        void start(List<ColdMachine> listed) {
            open.clear();
            told.clear();
            dead = false;
            var classes = List.of(requestClass("light", 1), requestClass("heavy", 4));
            balancer = Balancer.create(new Settings(
                    random.nextLong(),
                    me,
                    setup.balancers,
                    0,
                    true,
                    false,
                    true,
                    zone,
                    5_000,
                    0.1,
                    List.of(),
                    classes,
                    List.of(),
                    Fixture.LIMITS,
                    rules,
                    new Balancer.Goal(1, 0, 0, 0, setup.site.zones > 1 ? 0.1 : 0, 0, 0)));
            var entries = listed.stream().map(m -> m.entry(BackendState.READY)).toList();
            entries.forEach(e -> told.put(e.id(), e.startedAt()));
            balancer.on(agenda.now, new BackendList(ListKind.FULL, entries), this);
        }

        void hear(ColdMachine old, ColdMachine fresh) {
            // What was listed at its own start may be newer.
            if (dead || fresh != null && byId.get(fresh.id) != fresh) {
                return;
            }
            List<Backend> entries = new ArrayList<>();
            if (old != null && (fresh == null || !old.id.equals(fresh.id))) {
                entries.add(old.entry(BackendState.GONE));
            }
            if (fresh != null) {
                told.put(fresh.id, fresh.startedAt);
                entries.add(fresh.entry(BackendState.READY));
            }
            balancer.on(agenda.now, new BackendList(ListKind.CHANGES, entries), this);
        }

        /** Poisson arrivals; half as much again for 3 s amid the cold starts. */
        void arriveNext() {
            boolean burst = agenda.now > ROLL + 5 * SECOND && agenda.now < ROLL + 8 * SECOND;
            agenda.after((long) (random.nextExponential() / (rate * (burst ? setup.site.burst : 1)) * SECOND), () -> {
                if (!dead) {
                    arrive(random.nextInt(2), false);
                }
                arriveNext();
            });
        }

        private void arrive(int cls, boolean again) {
            if (dead) {
                return;
            }
            long id = ++sessions;
            open.put(id, new Open(cls, again, WORK[cls] * (0.7 + 0.6 * random.nextDouble()), 0, false));
            balancer.on(agenda.now, new Arrival(id, cls, -1, null, aim(WORK[cls]), again), this);
        }

        @Override
        public void send(long request, String backend, long timeout) {
            Open o = open.get(request);
            int attempt = o.attempts;
            open.put(request, o.sent(attempt + 1, true));
            Balancer of = balancer;
            ColdMachine m = byId.get(backend);
            long at = agenda.now;
            boolean known = told.getOrDefault(backend, 0L) == m.startedAt;
            boolean taken = m.take(o.work, known, () -> ended(of, request, attempt, m, Outcome.OK, at));
            long wait = taken ? timeout : 1000;
            agenda.after(
                    wait, () -> ended(of, request, attempt, m, taken ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, at));
        }

        private void ended(Balancer of, long request, int attempt, ColdMachine m, Outcome outcome, long sentAt) {
            Open o = of == balancer && !dead ? open.get(request) : null;
            if (o == null || o.attempts != attempt + 1 || !o.out) {
                return;
            }
            boolean ok = outcome == Outcome.OK;
            if (ok) {
                open.remove(request);
            } else {
                open.put(request, o.sent(o.attempts, false));
            }
            balancer.on(
                    agenda.now, new AttemptEnded(request, attempt, m.id, ok, outcome, agenda.now - sentAt, null), this);
        }

        private void deny(long request) {
            Open o = open.remove(request);
            if (o != null) {
                denied++;
                deniedLately = agenda.now;
                // Most clients come back, half of those a second time.
                if (random.nextDouble() < (o.again ? 0.5 : 0.8)) {
                    agenda.after(SECOND / 3, () -> arrive(o.cls, true));
                }
            }
        }

        @Override
        public void refuse(long request, long retryAfter) {
            deny(request);
        }

        @Override
        public void fail(long request) {
            deny(request);
        }

        @Override
        public void timer(long delay, int purpose, long subject) {
            Balancer of = balancer;
            agenda.after(delay, () -> {
                if (of == balancer && !dead) {
                    balancer.on(agenda.now, new Timer(purpose, subject), this);
                }
            });
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void probe(String backend) {}

        @Override
        public void closeIdle(String backend) {}

        @Override
        public void tell(int peer, byte[] bytes) {}

        @Override
        public void log(String text) {}
    }

    /** Six times what the work takes on a warm server. */
    private long aim(double work) {
        return (long) (6 * ColdMachine.SLOTS * work / unit * SECOND);
    }

    private RequestClass requestClass(String name, double worth) {
        long aim = aim(WORK[name.equals("light") ? 0 : 1]);
        return new RequestClass(name, Effect.REPEATABLE, KeyScope.ALL, SECOND, aim, aim, worth, 0.5, false);
    }

    /** Servers of one size don't lie side by side in any instance's order. */
    private double size(int i) {
        return setup.site.sizes[i % setup.site.sizes.length];
    }

    private ColdMachine machine(String id, int i, long startedAt) {
        double told = setup.site.weights ? size(i) * (0.9 + 0.2 * random.nextDouble()) : 1;
        ColdMachine m = new ColdMachine(
                id,
                "z" + i / setup.site.sizes.length % setup.site.zones,
                startedAt,
                unit,
                size(i),
                told,
                rules,
                agenda);
        byId.put(id, m);
        machines.add(m);
        return m;
    }

    Result run() {
        int servers = setup.site.servers, replaced = (int) Math.round(setup.day.replaced * servers);
        for (int i = setup.day == Day.JOIN ? replaced : 0; i < servers; i++) {
            machine("b" + i, i, setup.day == Day.WHOLE ? agenda.now : 0);
        }
        List<ColdMachine> first = List.copyOf(machines);
        // Several times the mean for some; thin for most.
        double[] parts =
                random.doubles(setup.balancers).map(u -> 0.25 + 3 * u * u * u).toArray();
        for (int i = 0; i < parts.length; i++) {
            Node n = new Node(i, setup.perBalancer * parts[i]);
            nodes.add(n);
            n.start(first);
            n.arriveNext();
            if (setup.day == Day.FRESH) {
                agenda.at(ROLL - random.nextLong(SECOND), () -> n.start(first));
            }
            if (setup.day == Day.KILLED && i % 2 == 0) {
                kill(n, ROLL + random.nextLong(9 * SECOND));
            }
            if (setup.day == Day.KILLED && i % 6 == 0) {
                kill(n, ROLL + random.nextLong(9 * SECOND));
            }
        }
        for (int i = 0; i < replaced; i++) {
            int number = i;
            ColdMachine old = setup.day == Day.JOIN ? null : first.get(i);
            String id = old != null && i % 2 == 0 ? old.id : "n" + i;
            agenda.at(ROLL + setup.day.within * i / replaced, () -> {
                ColdMachine fresh = machine(id, number, agenda.now);
                if (old != null) {
                    old.gone = true;
                }
                spread(old, fresh);
            });
        }
        if (setup.day == Day.ILL) {
            for (int i = replaced; i < servers; i += 3) {
                ColdMachine m = first.get(i);
                var how = i % 2 == 0 ? ColdMachine.Illness.FAILS : ColdMachine.Illness.SLOW;
                agenda.at(ROLL - 3 * SECOND, () -> m.illness = how);
            }
        }
        if (setup.day == Day.LAST || setup.day == Day.LATER) {
            long when = setup.day == Day.LAST ? ROLL - 2 * SECOND : ROLL + 4 * SECOND;
            first.forEach(m -> agenda.at(when, () -> {
                m.lost = true;
                if (byId.get(m.id) == m) {
                    spread(m, null);
                }
            }));
        }
        agenda.at(agenda.now + SAMPLE, this::sample);
        agenda.runUntil(END);
        return result();
    }

    /** It ends without a word and comes back with the list of then. */
    private void kill(Node n, long at) {
        agenda.at(at, () -> {
            n.dead = true;
            agenda.after(
                    random.nextLong(SECOND / 5, SECOND),
                    () -> n.start(byId.values().stream()
                            .filter(m -> !m.lost && !m.gone)
                            .sorted(Comparator.comparing(m -> m.id))
                            .toList()));
        });
    }

    /** Each balancer hears in its own time. */
    private void spread(ColdMachine old, ColdMachine fresh) {
        nodes.forEach(n -> agenda.after(random.nextLong(NOTICE / 10, NOTICE), () -> n.hear(old, fresh)));
    }

    /** How much cold servers are used while sessions are denied, once all balancers have heard of them. */
    private void sample() {
        agenda.at(agenda.now + SAMPLE, this::sample);
        for (ColdMachine m : machines) {
            if (!m.cold(agenda.now) || agenda.now < m.startedAt + NOTICE || agenda.now > deniedLately + SECOND) {
                m.idleSince = agenda.now;
                continue;
            }
            possible += m.possible(SAMPLE);
            sent += m.came(SAMPLE);
            if (m.busy > 0) {
                m.idleSince = agenda.now;
            }
            longestIdle = Math.max(longestIdle, (agenda.now - m.idleSince) / (double) SECOND);
        }
    }

    private Result result() {
        var worst = machines.stream().map(ColdMachine::worst).toList();
        return new Result(
                worst.stream().mapToDouble(ColdMachine.Worst::all).max().orElse(0),
                worst.stream().mapToDouble(ColdMachine.Worst::told).max().orElse(0),
                (int) worst.stream().filter(w -> w.told() > 1).count(),
                (int) worst.stream().filter(ColdMachine.Worst::broken).count(),
                possible == 0 ? 1 : sent / possible,
                longestIdle,
                denied / (double) Math.max(1, sessions),
                (int) machines.stream().filter(m -> m.startedAt > 0).count(),
                (int) worst.stream().filter(w -> w.all() > 1).count());
    }
}
