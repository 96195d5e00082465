package calicochute.decision;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.Goal;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Timer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/** One instance under test with a host that only writes down what it is asked to do. */
final class Fixture implements Actions {
    static final long SECOND = 1_000_000;
    static final Limits LIMITS = new Limits(true, true, false, false, false, 4, 1000, 1, 200_000, SECOND);
    static final Rules RULES = new Rules(20_000, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND);

    record Sent(long request, String backend, long timeout) {}

    record Set(long at, Timer timer) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Set> timers = new ArrayList<>();
    final List<String> said = new ArrayList<>();
    private final Map<Long, Long> sentAt = new HashMap<>();
    private final java.util.Set<Long> open = new HashSet<>();
    private int answered;
    final Choice choice;
    long now = 1000 * SECOND;

    Fixture(Settings settings) {
        choice = Choice.of(settings);
    }

    static RequestClass requestClass(Effect effect, KeyScope scope) {
        return new RequestClass("c", effect, scope, 2 * SECOND, SECOND, 4 * SECOND, 1, 0.5, false);
    }

    static Settings settings(List<RequestClass> classes, Limits limits) {
        return settings(classes, limits, false, 0, 1);
    }

    static Settings settings(List<RequestClass> classes, Limits limits, boolean subscribes, int me, int balancers) {
        return settings(42, classes, limits, subscribes, me, balancers);
    }

    static Settings settings(
            long seed, List<RequestClass> classes, Limits limits, boolean subscribes, int me, int balancers) {
        return new Settings(
                seed,
                me,
                balancers,
                0,
                true,
                subscribes,
                true,
                "z",
                5_000,
                0.1,
                List.of(),
                classes,
                List.of(),
                limits,
                RULES,
                new Goal(1, 0, 0, 0, 0, 0, 0));
    }

    static Fixture of(Effect effect, KeyScope scope) {
        return new Fixture(settings(List.of(requestClass(effect, scope)), LIMITS));
    }

    static Backend backend(String id, String zone, int cell) {
        return new Backend(id, zone, cell, 1, BackendState.READY, 0, "k");
    }

    static Backend with(Backend b, BackendState state, long startedAt) {
        return new Backend(b.id(), b.zone(), b.cell(), b.weight(), state, startedAt, b.kind());
    }

    /** So many alike, started long ago, each in a cell of its own. */
    static Backend[] fleet(int size) {
        Backend[] fleet = new Backend[size];
        for (int i = 0; i < size; i++) {
            fleet[i] = backend("b" + i, "z", i);
        }
        return fleet;
    }

    Fixture list(Backend... entries) {
        return list(ListKind.FULL, entries);
    }

    Fixture list(ListKind kind, Backend... entries) {
        on(new BackendList(kind, List.of(entries)));
        return this;
    }

    void on(Event event) {
        choice.on(now, event, this);
    }

    void arrive(long request, long left) {
        arrive(request, 0, left);
    }

    void arrive(long request, int cls, long left) {
        on(new Arrival(request, cls, -1, null, left, false));
    }

    /** Ends the newest attempt sent, which is attempt {@code number} of its request. */
    void outcome(int number, Outcome outcome, long elapsed) {
        Sent last = sent.get(sent.size() - 1);
        on(new AttemptEnded(last.request, number, last.backend, outcome == Outcome.OK, outcome, elapsed, null));
    }

    /** Sends one request and ends it as told; the backend that got it. */
    String one(long request, Outcome outcome, long elapsed) {
        arrive(request, 4 * SECOND);
        now += elapsed;
        String backend = lastBackend();
        outcome(0, outcome, elapsed);
        return backend;
    }

    /** Answers the request that has waited longest. */
    void answerOldest() {
        while (answered < sent.size() && !open.remove(sent.get(answered).request)) {
            answered++;
        }
        if (answered < sent.size()) {
            Sent s = sent.get(answered++);
            on(new AttemptEnded(s.request, 0, s.backend, true, Outcome.OK, now - sentAt.get(s.request), null));
        }
    }

    /** Ends all that have been out for so long without an answer. */
    void timeOutOldest(long age) {
        for (Sent s : List.copyOf(sent)) {
            if (sentAt.get(s.request) <= now - age && open.remove(s.request)) {
                on(new AttemptEnded(
                        s.request, 0, s.backend, false, Outcome.TIMED_OUT, now - sentAt.get(s.request), null));
            }
        }
    }

    /** Lets time pass to the timers due until {@code until}. */
    void pass(long until) {
        while (true) {
            Set due = null;
            for (Set t : timers) {
                if (t.at <= until && (due == null || t.at < due.at)) {
                    due = t;
                }
            }
            if (due == null) {
                break;
            }
            timers.remove(due);
            now = Math.max(now, due.at);
            on(due.timer);
        }
        now = until;
    }

    String lastBackend() {
        return sent.get(sent.size() - 1).backend;
    }

    String lastSaid() {
        return said.isEmpty() ? "" : said.get(said.size() - 1);
    }

    @Override
    public void send(long request, String backend, long timeout) {
        sent.add(new Sent(request, backend, timeout));
        sentAt.put(request, now);
        open.add(request);
        said.add("send " + request + " " + backend);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        said.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        said.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        said.add("cancel " + request + " " + attempt);
    }

    @Override
    public void timer(long delay, int purpose, long subject) {
        timers.add(new Set(now + delay, new Timer(purpose, subject)));
    }

    @Override
    public void subscribe(boolean on) {
        said.add("subscribe " + on);
    }

    @Override
    public void fetchList() {
        said.add("fetch");
    }

    @Override
    public void probe(String backend) {
        said.add("probe " + backend);
    }

    @Override
    public void closeIdle(String backend) {
        said.add("close " + backend);
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        said.add("tell " + peer);
    }

    @Override
    public void log(String text) {
        said.add("log " + text);
    }
}
