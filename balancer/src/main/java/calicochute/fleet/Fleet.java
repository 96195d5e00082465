package calicochute.fleet;

import calicochute.bandit.Advice;
import calicochute.bandit.Advices;
import calicochute.bandit.Bandit;
import calicochute.bandit.Listed;
import calicochute.bandit.Setting;
import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.experiment.Arm;
import calicochute.experiment.Experiment;
import calicochute.experiment.Teller.Ticket;
import calicochute.gossip.Gossip;
import calicochute.gossip.Group;
import calicochute.gossip.Limits;
import calicochute.gossip.Member;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFile;
import calicochute.outcomes.Carrier;
import calicochute.outcomes.End;
import calicochute.outcomes.Ledger;
import calicochute.outcomes.Origin;
import calicochute.outcomes.Sharing;
import calicochute.outcomes.Subject;
import calicochute.outcomes.Windows;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * This balancer's part in the fleet: counts what becomes of sessions and dispatches, shares it by datagrams, and runs its part of the experiments. All on the
 * decision thread; the socket's thread only posts what came.
 */
public final class Fleet implements FleetPart {
    private static final long TICK = 100_000;
    private static final long TEXTS = 1_000_000;
    private static final long ADVISE = 250_000;
    private static final int CHANNEL_OUTCOMES = 1;
    private static final int CHANNEL_COUNTS = 2;
    private static final int CHANNEL_SEAL = 3;
    /** Rows older than this many windows say nothing any more. */
    private static final int ROWS_KEPT = 10;
    private static final int MARK = 4;

    private final DecisionQueue queue;
    private final Supplier<OperatorFile> next;
    private final Supplier<List<RequestClass>> classes;
    private final Supplier<List<Balancer.Tenant>> tenants;
    private final Consumer<Event> module;
    private final Windows windows = Windows.USUAL;
    private final long start;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final List<String> peers;
    private final OperatorFile file;
    private final Datagrams datagrams;
    private final Gossip gossip;
    private final Ledger ledger;
    private final Sharing sharing;
    private final Bandit bandit;
    private final StateFolder states;
    private final Map<String, Backend> servers = new HashMap<>();
    private final Map<Long, Placed> placed = new HashMap<>();
    private final List<Trial> trials = new ArrayList<>();
    private Map<String, Integer> arms = Map.of();
    private boolean stopped;
    private Set<String> trying = Set.of();
    private long advisedAt;
    private long tries;
    private long sick;
    private volatile String experimentsText = "";
    private volatile String fleetText = "";

    /** A session under way: its window, and where it is in an experiment its ticket and arm. */
    private static final class Placed {
        final long window;
        final Trial trial;
        final Ticket ticket;
        final int arm;
        boolean answered;
        boolean crossed;
        String last = "";

        Placed(long window, Trial trial, Ticket ticket, int arm) {
            this.window = window;
            this.trial = trial;
            this.ticket = ticket;
            this.arm = arm;
        }
    }

    /**
     * @param next reads the operator's file anew; null where it can't be used (and has been said)
     * @param classes of the settings as they are now
     */
    public Fleet(OperatorFile file, DecisionQueue queue, long seed, Supplier<OperatorFile> next, Supplier<List<RequestClass>> classes,
                 Supplier<List<Balancer.Tenant>> tenants, Consumer<Event> module) throws FleetException {
        this.file = file;
        this.queue = queue;
        this.next = next;
        this.classes = classes;
        this.tenants = tenants;
        this.module = module;
        start = queue.now();
        peers = file.peers().stream().map(OperatorFile.Peer::id).sorted().toList();
        file.peers().forEach(p -> addresses.put(p.id(), p.address()));
        List<Member> members = file.peers().stream().map(p -> new Member(p.id(), p.address().toString())).toList();
        gossip = new Gossip(new Group(file.cluster(), file.me(), members), start, Limits.usual(), seed, this::send, new Ears());
        ledger = new Ledger(windows, longest());
        sharing = file.share() ? new Sharing(new Origin(file.me(), start), windows, new Rows()) : null;
        bandit = file.bandit() ? new Bandit(Setting.USUAL, file.me(), seed) : null;
        states = file.state().isEmpty() ? null : new StateFolder(Path.of(file.state()), file.me());
        datagrams = new Datagrams(file.listen(), this::came);
    }

    private long longest() {
        return classes.get().stream().mapToLong(RequestClass::deadline).max().orElse(1_000_000);
    }

    @Override
    public void start() {
        queue.post(() -> {
            file.experiments().forEach(this::begin);
            place();
            tick();
        });
    }

    @Override
    public void stop() {
        queue.post(() -> {
            stopped = true;
            datagrams.close();
        });
    }

    private void begin(Experiment experiment) {
        Trial trial = new Trial(experiment, windows, peers, file.me(), start, longest(), states != null, null, new TrialHost());
        byte[] kept = states == null ? null : states.read(trial.name());
        trials.add(kept == null ? trial : new Trial(experiment, windows, peers, file.me(), start, longest(), true, kept, new TrialHost()));
        Log.info("experiment", "name=" + trial.name() + " remembered=" + (kept != null) + (states == null ? " (no state folder: it begins anew if all restart)" : ""));
    }

    @Override
    public void reload() {
        OperatorFile changed = next.get();
        if (changed == null) {
            return;
        }
        queue.post(() -> {
            if (!changed.peers().equals(file.peers()) || !changed.listen().equals(file.listen()) || !changed.cluster().equals(file.cluster())) {
                Log.warn("fleet-not-moved", "cluster, listen and peers stay as they were at the start; restart to change them");
            }
            List<Trial> before = List.copyOf(trials);
            trials.clear();
            for (Experiment experiment : changed.experiments()) {
                Trial same = before.stream().filter(t -> t.experiment().equals(experiment)).findFirst().orElse(null);
                if (same != null) {
                    trials.add(same);
                    continue;
                }
                before.stream().filter(t -> t.experiment().name().equals(experiment.name())).forEach(t ->
                    Log.warn("experiment-changed", "name=" + t.name() + " ends with verdict " + t.verdict() + " and begins anew under another name"));
                begin(experiment);
            }
            before.stream().filter(t -> !trials.contains(t)).forEach(t -> Log.info("experiment-ends", t.text()));
            place();
        });
    }

    // ---- Datagrams

    private void came(byte[] datagram) {
        queue.post(() -> {
            datagrams.taken();
            if (!stopped) {
                gossip.received(queue.now(), datagram);
            }
        });
    }

    private void send(String peer, byte[] datagram) {
        datagrams.send(addresses.get(peer), datagram);
    }

    private final class Ears implements Gossip.Hearer {
        @Override
        public void direct(long now, String from, long fromStart, int channel, byte[] body) {
            if (channel == CHANNEL_OUTCOMES && sharing != null) {
                sharing.heardDirect(now, from, fromStart, body);
            } else if (body.length > MARK && (channel == CHANNEL_COUNTS || channel == CHANNEL_SEAL)) {
                int mark = ByteBuffer.wrap(body).getInt();
                byte[] rest = java.util.Arrays.copyOfRange(body, MARK, body.length);
                for (Trial trial : trials) {
                    if (trial.name().hashCode() == mark && channel == CHANNEL_COUNTS) {
                        trial.heardCounts(now, from, rest);
                    } else if (trial.name().hashCode() == mark) {
                        trial.heardSeal(now, from, rest);
                    }
                }
            }
        }

        @Override
        public void spread(long now, String from, long fromStart, int channel, String key, long version, byte[] body) {
            if (channel == CHANNEL_OUTCOMES && sharing != null) {
                sharing.heardSpread(now, from, fromStart, key, version, body);
            }
        }

        @Override
        public void twins(long now, String id, long one, long other) {
            Log.warn("fleet-twins", "id=" + id + " starts=" + one + "," + other + ": two processes say they are it");
        }

        @Override
        public void members(long now, Set<String> live) {
            Log.info("fleet-members", "live=" + live.size() + " of=" + peers.size());
        }
    }

    private final class Rows implements Carrier {
        @Override
        public void direct(String peer, byte[] body) {
            gossip.direct(queue.now(), peer, CHANNEL_OUTCOMES, body);
        }

        @Override
        public void spread(String key, long version, byte[] body) {
            gossip.spread(queue.now(), CHANNEL_OUTCOMES, file.me() + "/" + key, version, body, queue.now() + ROWS_KEPT * windows.length());
        }

        @Override
        public Set<String> live() {
            return gossip.live();
        }
    }

    private final class TrialHost implements Trial.Host {
        private byte[] marked(String name, byte[] body) {
            return ByteBuffer.allocate(MARK + body.length).putInt(name.hashCode()).put(body).array();
        }

        @Override
        public void counts(String name, String peer, byte[] counts) {
            gossip.direct(queue.now(), peer, CHANNEL_COUNTS, marked(name, counts));
        }

        @Override
        public void seal(String name, String peer, byte[] message) {
            gossip.direct(queue.now(), peer, CHANNEL_SEAL, marked(name, message));
        }

        @Override
        public void keep(String name, byte[] state, long token, LongConsumer kept) {
            if (states == null) {
                kept.accept(token);
            } else {
                states.write(name, state, () -> queue.post(() -> kept.accept(token)));
            }
        }
    }

    // ---- The clock

    private void tick() {
        if (stopped) {
            return;
        }
        long now = queue.now();
        gossip.tick(now);
        if (sharing != null) {
            ledger.close(now).forEach(closed -> sharing.closed(now, closed));
            sharing.tick(now);
        }
        Set<String> live = gossip.live();
        trials.forEach(t -> t.tick(now, live));
        if (bandit != null && now >= advisedAt + ADVISE) {
            advisedAt = now;
            advise(now, live);
        }
        if (now % TEXTS < TICK) {
            texts(live);
        }
        queue.after(TICK, this::tick);
    }

    /** What the fleet knows goes to the module; a turn to try a server is told once, when it comes. */
    private void advise(long now, Set<String> live) {
        List<Listed> listed = servers.values().stream().map(b -> new Listed(b.id(), b.startedAt(), b.kind(), b.zone(), b.weight(),
            b.state() == BackendState.READY)).toList();
        bandit.heard(now, sharing.picture(), live, listed);
        Advices advices = bandit.advise(now);
        Set<String> turns = new HashSet<>();
        List<Balancer.OfFleet> told = new ArrayList<>();
        for (Advice a : advices.of()) {
            boolean turn = a.mayTry() && !trying.contains(a.server());
            told.add(new Balancer.OfFleet(a.server(), a.startedAt(), a.speed(), a.worth(), a.sick(), turn));
            if (a.mayTry()) {
                turns.add(a.server());
            }
            tries += turn ? 1 : 0;
        }
        trying = turns;
        sick = advices.of().stream().filter(Advice::sick).count();
        module.accept(new Balancer.Advised(told, advices.until()));
    }

    private void texts(Set<String> live) {
        StringBuilder text = new StringBuilder();
        trials.forEach(t -> text.append(t.text()).append('\n'));
        experimentsText = trials.isEmpty() ? "none\n" : text.toString();
        fleetText = "me " + file.me() + "\ncluster " + file.cluster() + "\nlive " + live.size() + "\npeers " + peers.size() + "\nmissing "
            + peers.stream().filter(p -> !live.contains(p)).toList() + "\noverflowed " + datagrams.overflowed() + "\nunsent " + datagrams.unsent()
            + "\n" + gossip.counts().text() + (sharing == null ? "" : "rows " + sharing.picture().rows(queue.now()).size() + "\nsick " + sick + "\ntries " + tries + "\noutcomes_dropped " + sharing.counts().all() + "\nclock_off " + sharing.counts().clockOff() + "\n");
    }

    // ---- What the node tells

    @Override
    public void listed(ListKind kind, List<Backend> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            servers.clear();
        }
        for (Backend b : entries) {
            if (b.state() == BackendState.GONE) {
                servers.remove(b.id());
            } else {
                servers.put(b.id(), b);
            }
        }
        place();
    }

    /** Which subjects rows may name, and which server is in which arm. */
    private void place() {
        Map<String, Integer> placing = new HashMap<>();
        List<Subject> subjects = new ArrayList<>();
        for (Backend b : servers.values()) {
            for (int i = 0; i < trials.size() && !placing.containsKey(b.id()); i++) {
                Arm arm = trials.get(i).armOf(b);
                if (arm != null) {
                    placing.put(b.id(), number(i, arm));
                }
            }
            String arm = armName(placing.getOrDefault(b.id(), 0));
            for (RequestClass c : classes.get()) {
                subjects.add(new Subject(b.id(), b.startedAt(), c.name(), ""));
                if (!arm.isEmpty()) {
                    subjects.add(new Subject(b.id(), b.startedAt(), c.name(), arm));
                }
            }
        }
        if (sharing != null) {
            sharing.known(subjects);
        }
        if (!placing.equals(arms)) {
            arms = placing;
            module.accept(new Balancer.Arms(Map.copyOf(arms)));
        }
    }

    private static int number(int trial, Arm arm) {
        return 1 + 2 * trial + (arm == Arm.TREATMENT ? 1 : 0);
    }

    private String armName(int number) {
        return number == 0 ? "" : trials.get((number - 1) / 2).name() + (number % 2 == 0 ? "/t" : "/c");
    }

    @Override
    public int begun(Exchange exchange) {
        long now = queue.now();
        String lane = classes.get().get(exchange.classIndex).name();
        String tenant = exchange.tenantIndex < 0 ? "" : tenants.get().get(exchange.tenantIndex).name();
        Trial trial = null;
        Ticket ticket = null;
        int arm = 0;
        for (int i = 0; i < trials.size() && ticket == null; i++) {
            ticket = trials.get(i).begin(now, now + exchange.patience, call(exchange), lane, tenant, exchange.retry);
            if (ticket != null) {
                trial = trials.get(i);
                arm = number(i, ticket.arm());
            }
        }
        placed.put(exchange.id, new Placed(ledger.assign(now), trial, ticket, arm));
        return arm;
    }

    /** What a client's tries of one call have in common: the key where there is one; its own name of the session otherwise. */
    private static String call(Exchange exchange) {
        return exchange.message.fields().stream().filter(f -> f.name().equalsIgnoreCase("Idempotency-Key")).map(f -> f.value()).findFirst()
            .orElse(exchange.clientId);
    }

    @Override
    public void dispatched(Dispatch dispatch, Outcome outcome, long elapsed) {
        Placed p = placed.get(dispatch.exchange.id);
        Backend server = servers.get(dispatch.server);
        if (p == null || outcome == Outcome.MOOT) {
            return;
        }
        p.crossed |= p.arm != 0 && arms.getOrDefault(dispatch.server, 0) != p.arm;
        p.last = dispatch.server;
        // One that was replaced since: what is known of the new start is not of that dispatch.
        if (server != null && server.startedAt() <= dispatch.sentAt) {
            RequestClass c = classes.get().get(dispatch.exchange.classIndex);
            double logSpeed = outcome == Outcome.OK ? -Math.log(Math.max(elapsed, 1) / 1e6) : Double.NaN;
            ledger.count(p.window, new Subject(server.id(), server.startedAt(), c.name(), armName(p.arm)), end(outcome, elapsed, c), logSpeed);
        }
    }

    private static End end(Outcome outcome, long elapsed, RequestClass c) {
        return switch (outcome) {
            case OK -> elapsed <= c.aim() ? End.IN_AIM : End.LATE;
            case ERROR -> End.ERROR;
            case FULL -> End.FULL;
            case CONNECT_FAILED -> End.UNREACHABLE;
            case RESET -> End.RESET;
            case TIMED_OUT -> End.TIMED_OUT;
            default -> End.WITHDRAWN;
        };
    }

    @Override
    public void answered(Exchange exchange, boolean served, boolean failed) {
        Placed p = placed.get(exchange.id);
        if (p == null || p.answered) {
            return;
        }
        p.answered = true;
        if (p.ticket != null) {
            RequestClass c = classes.get().get(exchange.classIndex);
            boolean inAim = served && queue.now() - exchange.arrivedAt() <= c.aim();
            // A dispatch's outcome may come behind the answer: where it went is known at its beginning.
            String server = exchange.latest() == null ? "" : exchange.latest().server;
            boolean crossed = p.crossed || !server.isEmpty() && arms.getOrDefault(server, 0) != p.arm;
            p.trial.over(p.ticket, c.worth(), inAim ? c.worth() : 0, failed, crossed, server);
        }
    }

    @Override
    public void retired(Exchange exchange) {
        Placed p = placed.remove(exchange.id);
        if (p != null) {
            ledger.over(p.window);
        }
    }

    @Override
    public String experiments() {
        return experimentsText;
    }

    @Override
    public String fleet() {
        return fleetText;
    }
}
