package calicochute.decision;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import calicochute.decision.Track.Attempt;
import calicochute.decision.Track.Request;
import calicochute.decision.Track.Seen;
import calicochute.decision.Track.Server;

/**
 * Every decision of the balancer; its interface (settings, events, actions) is Balancer.java.
 * The ordinary path follows Bouten et al.: an aged EWMA of speed per backend, softmax over speed by the best,
 * temperature and ordered walk set by headroom. DANGER: departures, docs/design.md. Instances share nothing.
 */
final class Choice implements Balancer {
    // ---- Tunables: times in microseconds, speeds relative to the class's typical latency (1 = typical).
    /** Time constant of the aged EWMA; the paper's value. */
    private static final double DELTA = 3e6;
    /** Where samples are few, age so slowly that about this many count: one draw says little. */
    private static final double SAMPLES = 12;
    /** A sample never outweighs all that came before: one failure after a silence is not a verdict. */
    private static final double ALPHA_MAX = 0.5;
    /** A failure says more than a slow answer and comes in bursts too short for ageing to see. */
    private static final double ALPHA_FAIL = 0.25;
    /** Bound of one sample, lest a few tiny requests rule the mean of inverses. */
    private static final double SPEED_MAX = 3;
    /** Unsampled for this long, an estimate has mostly returned to the typical: the way back for the sick. */
    private static final double FORGET = 10e6;
    /** How strongly an own attempt still out discounts its backend. */
    static final double CROWD = 0.5;
    /** Where crossing zones is priced, a backend abroad counts at this share of its speed. */
    private static final double ABROAD = 0.35;
    /** Typical latencies past which an attempt's age bounds its backend's speed, and tells no load. */
    private static final double PATIENCE = 2, HUNG = 5;
    /** Headroom is the time left over this many best latencies; bands and temperatures as in the design. */
    private static final double MULTIPLE = 5;
    private static final double LOW = 0.3, TARGET = 0.5, HIGH = 0.8, TAU_TARGET = 0.04, TAU_FULL = 0.07;
    /** Subset: callers for each backend (tables of connections are small), and backends a caller needs. */
    private static final double CALLERS = 8;
    private static final int SUBSET_MIN = 12;
    /** Retries per first try in the long run, and the most saved up. */
    private static final double RETRY_SHARE = 0.2, RETRY_MAX = 10;
    /** Share of the cold allowance used: sends come in clumps and peers judge by other samples. */
    private static final double COLD_CAUTION = 0.5;
    /** Queueing may take this share of the slack between a class's lowest typical answer time and its aim. */
    private static final double AIM_SHARE = 0.3;
    /** The least worthy request is refused this far below the limit. */
    private static final double WORTH_SPREAD = 0.3;
    private static final int LIMIT_MIN = 8;
    /** Arrivals by which the common patience must lead for another to be a later try, and leads at most. */
    private static final int VOTES = 8, MOST_VOTES = 1000;
    private static final long REVIEW = 250_000;
    private static final int TIMER_HELD = 1, TIMER_SUBSCRIBE = 2;

    private Settings settings;
    private RequestClass[] classes;
    private final SplittableRandom random;
    final Map<String, Server> servers = new HashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    /** All that are listed, in this instance's order; the subset in use; the walk and where it stands. */
    private Server[] ranked = new Server[0], use = ranked, walk = ranked;
    private int walkAt;
    final Map<String, Seen> named = new HashMap<>();
    private Seen[] seen;
    double typical = 1;
    private boolean pollNext = true, subscribed;
    double retryTokens = RETRY_MAX / 2;
    /** Admission: requests open and how many may be; smoothed share of the slack that queueing takes. */
    private int open;
    double limit = Double.MAX_VALUE, aimRatio;
    private double[] arrivals = { }, tenantTokens = { };
    private long now, unconnectedAt = Long.MIN_VALUE / 2, reviewedAt, limitCutAt, tenantTokensAt;
    /** Answers a second: of a warm backend in use on average, and of all together. */
    double warmRate, answerRate;
    private int warmAnswers, allAnswers, failedCalls;
    private Actions actions;

    Choice(Settings settings) {
        random = new SplittableRandom(settings.seed());
        retune(settings);
    }

    /** Estimates outlive a change of settings, by class name; an index never comes to mean another class. */
    private void retune(Settings to) {
        settings = to;
        classes = to.classes().toArray(new RequestClass[0]);
        seen = new Seen[classes.length];
        Arrays.setAll(seen, i -> named.computeIfAbsent(classes[i].name(), n -> new Seen()));
        arrivals = Arrays.copyOf(arrivals, classes.length * 3);
        tenantTokens = Arrays.copyOf(tenantTokens, to.tenants().size());
    }

    // ---- Events

    @Override
    public void on(long nowMicros, Event event, Actions to) {
        now = nowMicros;
        actions = to;
        if (event instanceof Arrival e) { arrive(e); }
        if (event instanceof AttemptEnded e) { attemptEnded(e); }
        if (event instanceof Timer e) { timer(e); }
        if (event instanceof BackendList e) { list(e); }
        if (event instanceof ClientGone e) { finish(requests.get(e.request())); }
        if (event instanceof StreamStarted e) { streamStarted(e); }
        if (event instanceof BodyState e) { bodyState(e, requests.get(e.request())); }
        if (event instanceof Retuned e) { retune(e.settings()); }
    }

    private void timer(Timer e) {
        if (e.purpose() == TIMER_SUBSCRIBE && !subscribed) { actions.subscribe(true); }
        Request r = requests.get(e.subject());
        if (e.purpose() == TIMER_HELD && r != null && !r.ended && !r.out()) { dispatch(r); }
    }

    private void streamStarted(StreamStarted e) {
        Request r = requests.get(e.request());
        if (r == null) { return; }
        Attempt a = r.attempts[e.attempt()];
        a.begun = true;
        answered(a, e.elapsed());
        if (!r.ended) { aim(r, 0); }
        finish(r);
    }

    private void bodyState(BodyState e, Request r) {
        if (r != null && e.spent()) { r.most = r.sent; }
        if (r != null && e.whole()) { r.whole(now); }
    }

    // ---- Request lifecycle

    private void arrive(Arrival e) {
        review();
        RequestClass c = classes[e.classIndex()];
        // DANGER: a client's aim began with its first try; work on a later one may be waste from the start.
        long waited = settings.tier() == 0 ? waited(e, c) : 0;
        long left = e.timeLeft();
        if (settings.tier() == 0 && c.lateWorth() == 0) { left = Math.min(left, c.aim() - waited); }
        if (waited > 0 && left < seen[e.classIndex()].latency) { left = 0; }
        Request r = new Request(e.request(), e.classIndex(), now, now + left, settings.limits());
        requests.put(r.id, r);
        open++;
        retryTokens = Math.min(RETRY_MAX, retryTokens + RETRY_SHARE);
        if (settings.tier() == 0 && !admit(e, waited)) { giveUp(r); } else { dispatch(r); }
    }

    /** How long the client waited before this try, 0 if untold; first tries share a patience, by majority. */
    private long waited(Arrival e, RequestClass c) {
        Seen cls = seen[e.classIndex()];
        boolean usual = Math.abs(e.timeLeft() - cls.patience) < c.deadline() / 50;
        if (!usual && cls.votes == 0) { cls.patience = e.timeLeft(); }
        cls.votes = Math.max(0, Math.min(cls.votes, MOST_VOTES) + (usual ? 1 : -1));
        boolean later = !usual && (settings.marksRetries() ? e.retry() : cls.votes > VOTES);
        return later ? Math.max(0, c.deadline() - e.timeLeft()) : 0;
    }

    /** Sends the request somewhere, or holds it, or ends it. */
    private void dispatch(Request r) {
        long left = r.deadline - now;
        boolean over = left <= 0 || r.sent >= r.most;
        Server s = over ? null : pick(r);
        if (s != null) {
            send(r, s);
        } else if (over || r.firstThatMayHaveRun() != null) {
            giveUp(r);
        } else {
            // DANGER: a held request has no attempt whose time-out would wake it; only a timer does.
            actions.timer(Math.max(1, Math.min(left, 10 * settings.tick())), TIMER_HELD, r.id);
        }
    }

    private void send(Request r, Server s) {
        r.send(s, now);
        s.allowance -= 1;
        actions.send(r.id, s.id, r.deadline - now);
    }

    private void attemptEnded(AttemptEnded e) {
        Request r = requests.get(e.request());
        if (r == null || e.attempt() >= r.sent || !r.attempts[e.attempt()].out) { return; }
        Attempt a = r.attempts[e.attempt()];
        a.ended(e.outcome().provesNotRun());
        learn(a, e);
        if (e.finished() || r.ended) {
            if (!r.ended && e.outcome() == Outcome.OK) { aim(r, 0); }
            finish(r);
        } else if (!r.out()) { retry(r, e.outcome()); }
    }

    private void retry(Request r, Outcome outcome) {
        if (now < r.deadline && retryTokens >= 1) {
            retryTokens -= 1;
            dispatch(r);
            return;
        }
        // DANGER: a time-out at the deadline still owes an answer now. A hung backend's is no load.
        if (outcome == Outcome.TIMED_OUT && now - r.arrivedAt < HUNG * seen[r.cls].latency) { aim(r, 1); }
        giveUp(r);
    }

    private void finish(Request r) {
        if (r == null) { return; }
        // One whose answer has begun goes on to its end.
        if (!r.ended && r.out() && !r.attempts[r.sent - 1].begun) { withdraw(r.attempts[r.sent - 1]); }
        open -= r.ended ? 0 : 1;
        r.ended = true;
        if (!r.out()) { requests.remove(r.id); }
    }

    private void giveUp(Request r) {
        // DANGER: full tables answer nothing: overload looks like rest. One of many is no overload.
        if (r.sent > 0 && r.firstThatMayHaveRun() == null) { aim(r, 1); }
        // DANGER: what overwhelms lasts for seconds; a client back sooner is served in place of a first try.
        if (mayRefuse(r)) { actions.refuse(r.id, settings.limits().away()); } else { actions.fail(r.id); }
        finish(r);
    }

    /** DANGER: a silent backend has only its attempts' age against it: keep that when they are withdrawn. */
    private void withdraw(Attempt a) {
        double age = now - a.sentAt;
        int cls = a.request.cls;
        if (seen[cls].answers > 0 && age > PATIENCE * seen[cls].latency) {
            blend(a.server, Math.min(a.server.speed, seen[cls].latency / age), 0);
        }
        if (settings.limits().cancel()) { actions.cancel(a.request.id, a.number); }
    }

    // ---- Legality: one predicate a rule; every send passes maySend, every refusal mayRefuse

    private boolean maySend(Request r, Server s) {
        return stillOwed(r) && notDraining(s) && noCopyOut(r) && effectAllows(r, s) && coldAllows(s);
    }

    private boolean stillOwed(Request r) {
        return !r.ended && now < r.deadline && r.sent < r.most;
    }

    private boolean notDraining(Server s) {
        return s.listed && s.entry.state() == BackendState.READY;
    }

    /** DANGER: a copy of a late attempt is mostly one of slow work, when nothing bears more. */
    private boolean noCopyOut(Request r) {
        return !r.out();
    }

    private boolean effectAllows(Request r, Server s) {
        Attempt first = r.firstThatMayHaveRun();
        RequestClass c = classes[r.cls];
        if (first == null || c.effect() == Effect.REPEATABLE) { return true; }
        return c.effect() == Effect.KEYED && now - first.sentAt < c.window() && sameGroup(c, first.server, s);
    }

    private static boolean sameGroup(RequestClass c, Server a, Server b) {
        boolean zone = a.entry.zone().equals(b.entry.zone()), cell = a.entry.cell() == b.entry.cell();
        return c.scope() == KeyScope.ALL || (c.scope() == KeyScope.ZONE ? zone : cell);
    }

    private boolean mayRefuse(Request r) {
        RequestClass c = classes[r.cls];
        return c.effect() == Effect.REPEATABLE || r.firstThatMayHaveRun() == null
            || c.effect() == Effect.KEYED && c.scope() == KeyScope.ALL;
    }

    /** DANGER: everyone's first call at once topples a cold backend; each spends only its own allowance. */
    private boolean coldAllows(Server s) {
        if (!cold(s)) { return true; }
        // DANGER: where none has ever been warm nothing tells what they bear, and nobody would be served.
        double rate = warmRate == 0 ? 1e6 / Math.max(1, settings.rules().fall())
            : warmRate * COLD_CAUTION * settings.rules().fallMultiple() * warmth(s);
        double most = Math.max(1, rate * settings.rules().fall() / 2e6);
        s.allowance = Math.min(most, s.allowance + rate * (now - s.allowanceAt) / 1e6);
        s.allowanceAt = now;
        return s.allowance >= 1;
    }

    private boolean cold(Server s) {
        return s.entry.startedAt() > 0 && now < s.entry.startedAt() + settings.rules().warmUp();
    }

    private double warmth(Server s) {
        double from = settings.rules().coldFrom();
        double age = Math.max(0, now - s.entry.startedAt());
        return from + (1 - from) * Math.min(1, age / settings.rules().warmUp());
    }

    // ---- Pick

    private Server pick(Request r) {
        Attempt first = r.firstThatMayHaveRun();
        boolean bound = first != null && classes[r.cls].effect() == Effect.KEYED;
        Server[] from = bound ? ranked : use;
        // One first call to each backend in use, paced to every second request.
        pollNext = !pollNext;
        Server poll = pollNext || bound ? null : anyLegal(r, use, true);
        if (poll != null) { return poll; }
        // DANGER: one zone refuses while the next one idles: home comes first only far from the limit.
        boolean home = settings.goal().crossZonePrice() > 0 && open <= limit * (1 - WORTH_SPREAD);
        double top = score(r, from, home ? ABROAD : 1);
        if (top == 0) { return anyLegal(r, from, false); }
        double room = headroom(r, top);
        if (room >= LOW || bound) { return softmax(from, top, room < HIGH ? TAU_TARGET : TAU_FULL); }
        // DANGER: own dispatches that crowd home look like little time: they spill, and no walk herds them.
        if (home) { top = score(r, from, 1); }
        double alone = Arrays.stream(from).filter(s -> s.score > 0).mapToDouble(this::alone).max().orElse(0);
        return headroom(r, alone) < LOW ? walk(r, top) : softmax(from, top, TAU_TARGET);
    }

    /** Scores all that the request may go to, the others 0; the greatest. */
    private double score(Request r, Server[] from, double abroad) {
        for (Server s : from) {
            double share = s.entry.zone().equals(settings.zone()) ? 1 : abroad;
            s.score = maySend(r, s) && !r.tried(s) ? effective(s) * share : 0;
        }
        return Arrays.stream(from).mapToDouble(s -> s.score).max().orElse(0);
    }

    /** From a random place on, the first backend that may be sent to. */
    private Server anyLegal(Request r, Server[] from, boolean unpolledOnly) {
        int start = from.length == 0 ? 0 : random.nextInt(from.length);
        for (int i = 0; i < from.length; i++) {
            Server s = from[(start + i) % from.length];
            if (!(unpolledOnly && s.polled) && maySend(r, s)) { return s; }
        }
        return null;
    }

    private double headroom(Request r, double best) {
        if (settings.tier() > 0 && !settings.passesDeadline() || seen[r.cls].answers == 0) { return TARGET; }
        return Math.min(1, (r.deadline - now) * best / (MULTIPLE * seen[r.cls].latency));
    }

    private Server softmax(Server[] from, double best, double tau) {
        double total = 0;
        for (Server s : from) {
            s.score = s.score > 0 ? Math.exp((s.score / best - 1) / tau) : 0;
            total += s.score;
        }
        double at = random.nextDouble() * total;
        Server chosen = null;
        for (int i = 0; i < from.length && at >= 0; i++) {
            if (from[i].score > 0) {
                chosen = from[i];
                at -= chosen.score;
            }
        }
        return chosen;
    }

    /** Stays on the walk's backend while it should answer in time; re-sorts only at the list's end. */
    private Server walk(Request r, double best) {
        for (int pass = 0; pass < 2; pass++) {
            for (; walkAt < walk.length; walkAt++) {
                Server s = walk[walkAt];
                boolean inTime = seen[r.cls].latency / effective(s) <= r.deadline - now;
                if (inTime && maySend(r, s) && !r.tried(s)) { return s; }
            }
            walk = use.clone();
            // Ties stay in this instance's own order, lest all instances take one server first.
            Arrays.sort(walk, Comparator.comparingDouble(s -> -effective(s)));
            walkAt = 0;
        }
        // DANGER: where own dispatches crowd them all none is in time; any may be one that fails at once.
        return softmax(use, best, TAU_TARGET);
    }

    // ---- Estimates

    /** A backend's speed as it counts now: shared with own attempts out. */
    double effective(Server s) { return Math.max(1e-3, alone(s) / (1 + CROWD * s.out)); }

    /** For one that would be alone: aged to the typical, bounded by the age of attempts out. */
    private double alone(Server s) {
        // An estimate from the future, by an older process's clock, is one of now.
        double keep = Math.exp(Math.min(0, s.sampledAt - now) / FORGET);
        double speed = s.speed * keep + typical * (1 - keep);
        if (s.oldest != null) {
            // DANGER: a hung backend keeps its score until time-outs; the age of what is out speaks sooner.
            double usual = seen[s.oldest.request.cls].latency;
            double age = now - s.oldest.sentAt;
            if (usual > 0 && age > PATIENCE * usual) { speed = Math.min(speed, PATIENCE * usual / age); }
        }
        return speed;
    }

    private void learn(Attempt a, AttemptEnded e) {
        switch (e.outcome()) {
            case OK -> { if (!a.begun) { answered(a, e.elapsed()); } }
            case CANCELLED, MOOT -> { }
            default -> {
                if (e.outcome() == Outcome.CONNECT_FAILED) { unconnectedAt = now; }
                blend(a.server, 0, ALPHA_FAIL);
                if (walkAt < walk.length && walk[walkAt] == a.server) { walkAt++; }
            }
        }
    }

    private void answered(Attempt a, long elapsed) {
        sample(a.server, a.request.cls, elapsed);
        allAnswers++;
        warmAnswers += cold(a.server) ? 0 : 1;
    }

    private void sample(Server s, int cls, long elapsed) {
        Seen c = seen[cls];
        double took = Math.max(elapsed, settings.tick());
        c.answers = Math.min(c.answers, 31) + 1;
        double weight = 1.0 / c.answers;
        c.latency += weight * (took - c.latency);
        c.base = c.answers < 32 ? c.latency : Math.min(c.latency, c.base + (c.latency - c.base) / 1024);
        blend(s, Math.min(SPEED_MAX, c.latency / took), 0);
    }

    private void blend(Server s, double speed, double atLeast) {
        // Several samples in one tick would have no weight at all: a tick is the least gap.
        double gap = Math.max(now - s.sampledAt, settings.tick());
        double delta = Math.max(DELTA, answerRate > 0 ? SAMPLES * use.length / answerRate * 1e6 : DELTA);
        double alpha = Math.min(ALPHA_MAX, Math.max(atLeast, 1 - Math.exp(-gap / delta)));
        s.speed += alpha * (speed - s.speed);
        s.sampledAt = now;
    }

    private void review() {
        if (now < reviewedAt + REVIEW) { return; }
        double seconds = Math.max(now - reviewedAt, 1) / 1e6;
        double weight = reviewedAt == 0 ? 0 : 1 - Math.exp(-seconds / 3);
        reviewedAt = now;
        var speeds = Arrays.stream(use).filter(s -> s.polled).mapToDouble(s -> s.speed).average();
        typical = Math.max(0.01, speeds.orElse(typical));
        for (Server s : use) {
            // DANGER: connections left idle by one caller fill a small table and shut the others out.
            if (s.peak > s.out + 1 && now < unconnectedAt + FORGET) {
                actions.closeIdle(s.id);
                s.peak = s.out;
            }
        }
        long warm = Arrays.stream(use).filter(s -> !cold(s)).count();
        long sick = Arrays.stream(use).filter(s -> s.polled && alone(s) < typical / 3).count();
        warmRate += weight * (warmAnswers / seconds / Math.max(1, warm) - warmRate);
        answerRate += weight * (allAnswers / seconds - answerRate);
        warmAnswers = allAnswers = 0;
        for (int i = 0; i < arrivals.length; i++) { arrivals[i] *= 0.9; }
        int want = subsetSize() + (int) sick;
        if (want > use.length && use.length < ranked.length || want < use.length * 2 / 3) { choose(want); }
    }

    // ---- List of backends, subset and cold allowance

    private void list(BackendList e) {
        if (e.kind() == ListKind.UNAVAILABLE) {
            subscribed = false;
            subscribeLater();
            return;
        }
        subscribed = e.kind() != ListKind.RESTORED;
        failedCalls = 0;
        if (!subscribed && settings.subscribes()) { subscribeLater(); }
        if (e.kind() != ListKind.CHANGES) { servers.values().forEach(s -> s.listed = false); }
        for (Backend b : e.entries()) { entry(b); }
        servers.values().removeIf(s -> !s.listed);
        ranked = servers.values().toArray(new Server[0]);
        Arrays.sort(ranked, Comparator.comparingLong((Server s) -> s.rank).thenComparing(s -> s.id));
        choose(subsetSize());
    }

    /** DANGER: the list service is small and proxies die in crowds: calls are spread out and back off. */
    private void subscribeLater() {
        double spread = Math.min(settings.rules().askEvery() / 2.0, 1e6 * (1 << Math.min(failedCalls++, 4)));
        actions.timer(1 + (long) (random.nextDouble() * spread), TIMER_SUBSCRIBE, 0);
    }

    private void entry(Backend b) {
        Server s = servers.get(b.id());
        if (b.state() == BackendState.GONE && s != null) { s.listed = false; }
        if (b.state() == BackendState.GONE) { return; }
        if (s == null) { servers.put(b.id(), s = new Server(b.id(), settings.me() % rounds())); }
        if (s.entry == null || s.entry.startedAt() != b.startedAt()) {
            s.polled = false;
            s.speed = typical;
            s.sampledAt = now;
            // A random start spreads the first calls of many instances over time.
            s.allowance = random.nextDouble();
            s.allowanceAt = now;
        }
        s.entry = b;
        s.listed = true;
    }

    /** Instances of one round take neighbouring slices of one order, so that callers are spread evenly. */
    private int rounds() {
        return Math.min(settings.balancers(), (int) CALLERS);
    }

    private int subsetSize() {
        return (int) Math.max(SUBSET_MIN, Math.ceil(CALLERS * ranked.length / settings.balancers()));
    }

    private void choose(int size) {
        Server[] before = use;
        Server[] pool = Arrays.stream(ranked).filter(this::notDraining).toArray(Server[]::new);
        int ready = pool.length, count = Math.min(size, ready);
        int perRound = settings.balancers() / rounds();
        int start = ready == 0 ? 0 : (int) ((long) (settings.me() / rounds()) * ready / perRound % ready);
        use = new Server[count];
        Arrays.setAll(use, i -> pool[(start + i) % ready]);
        var in = Arrays.asList(use);
        Arrays.stream(before).filter(s -> s.listed && !in.contains(s)).forEach(s -> actions.closeIdle(s.id));
    }

    // ---- Admission

    /** Moves the limit of requests open by how long answers take of their aim. */
    private void aim(Request r, double least) {
        double base = Math.min(seen[r.cls].base, classes[r.cls].aim() / 2.0);
        double ratio = Math.max(least, (now - r.arrivedAt - base) / Math.max(1, classes[r.cls].aim() - base));
        aimRatio += (Math.min(ratio, 1) - aimRatio) / 16;
        if (aimRatio > AIM_SHARE) {
            if (now >= limitCutAt) {
                limit = Math.max(LIMIT_MIN, Math.min(limit, open + 1) * 0.95);
                limitCutAt = now + Math.max(REVIEW, (long) seen[r.cls].latency);
            }
        } else if (open > limit * (1 - WORTH_SPREAD)) {
            limit += Math.max(6 / limit, 0.25 - aimRatio / AIM_SHARE / 2);
        }
    }

    private boolean overShare(int tenant) {
        double seconds = (now - tenantTokensAt) / 1e6;
        tenantTokensAt = now;
        for (int i = 0; i < tenantTokens.length; i++) {
            double rate = settings.tenants().get(i).allowancePerSecond() / settings.balancers();
            tenantTokens[i] = Math.min(Math.max(1, rate), tenantTokens[i] + seconds * rate);
        }
        if (tenant < 0 || tenantTokens[tenant] < 1) { return tenant >= 0; }
        tenantTokens[tenant] -= 1;
        return false;
    }

    private double worth(int bin) {
        RequestClass c = classes[bin / 3];
        double share = bin % 3 == 0 ? 1 : bin % 3 == 1 ? settings.overShareWorth() : c.lateWorth();
        return c.worth() * share / Math.max(1, seen[bin / 3].latency);
    }

    /** Under the limit all are taken; near it, only those with little of more worth arriving. */
    private boolean admit(Arrival e, long waited) {
        // DANGER: refused clients come back; served in turn with first tries, they make all of them late.
        int bin = e.classIndex() * 3 + (e.retry() && waited == 0 ? 2 : overShare(e.tenantIndex()) ? 1 : 0);
        // Retries have no say in the ranks: there are the more of them the more is refused.
        arrivals[bin] += bin % 3 < 2 ? 1 : 0;
        double above = 0, all = 0;
        for (int i = 0; i < arrivals.length; i++) {
            all += arrivals[i];
            above += worth(i) > worth(bin) ? arrivals[i] : 0;
        }
        return open <= limit * (1 - WORTH_SPREAD * above / Math.max(1, all));
    }
}
