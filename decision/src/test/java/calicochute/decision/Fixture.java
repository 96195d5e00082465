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
import java.util.Set;

/** One instance under test, with a host that only records the actions. */
final class Fixture implements Actions {
    /** One second in microseconds. */
    static final long SECOND = 1_000_000;

    static final Limits LIMITS = new Limits(true, true, false, false, false, 4, 1000, 1, 200_000, SECOND);
    static final Rules RULES = new Rules(20_000, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND);

    record Sent(long request, String backend, long timeout) {}

    record PendingTimer(long at, Timer timer) {}

    final List<Sent> sent = new ArrayList<>();
    final List<PendingTimer> timers = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    private final Map<Long, Long> sentAt = new HashMap<>();
    private final Set<Long> open = new HashSet<>();
    /** Index in {@link #sent} from which {@link #answerOldest} looks for an open request. */
    private int nextToAnswer;

    final DefaultBalancer balancer;
    long now = 1000 * SECOND;

    Fixture(Settings settings) {
        balancer = DefaultBalancer.of(settings);
    }

    static RequestClass requestClass(Effect effect, KeyScope scope) {
        return new RequestClass("c", effect, scope, 2 * SECOND, SECOND, 4 * SECOND, 1, 0.5, false);
    }

    static Settings settings(List<RequestClass> classes, Limits limits) {
        return settings(classes, limits, false, 0, 1);
    }

    static Settings settings(
            List<RequestClass> classes, Limits limits, boolean subscribes, int instance, int balancers) {
        return settings(42, classes, limits, subscribes, instance, balancers);
    }

    static Settings settings(
            long seed, List<RequestClass> classes, Limits limits, boolean subscribes, int instance, int balancers) {
        return new Settings(
                seed,
                instance,
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

    static Backend with(Backend backend, BackendState state, long startedAt) {
        return new Backend(
                backend.id(), backend.zone(), backend.cell(), backend.weight(), state, startedAt, backend.kind());
    }

    /** Equal backends that started long ago, each in a cell of its own. */
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
        balancer.on(now, event, this);
    }

    void arrive(long request, long timeLeft) {
        arrive(request, 0, timeLeft);
    }

    void arrive(long request, int classIndex, long timeLeft) {
        on(new Arrival(request, classIndex, -1, null, timeLeft, false));
    }

    /** Ends the newest attempt sent, which is attempt {@code number} of its request. */
    void outcome(int number, Outcome outcome, long elapsed) {
        Sent last = sent.get(sent.size() - 1);
        on(new AttemptEnded(last.request, number, last.backend, outcome == Outcome.OK, outcome, elapsed, null));
    }

    /** Sends one request and ends its attempt with this outcome; returns the backend that got it. */
    String sendAndEnd(long request, Outcome outcome, long elapsed) {
        arrive(request, 4 * SECOND);
        now += elapsed;
        String backend = lastBackend();
        outcome(0, outcome, elapsed);
        return backend;
    }

    /** Answers the request that has been open for the longest time. */
    void answerOldest() {
        while (nextToAnswer < sent.size() && !open.remove(sent.get(nextToAnswer).request)) {
            nextToAnswer++;
        }
        if (nextToAnswer < sent.size()) {
            Sent oldest = sent.get(nextToAnswer++);
            on(new AttemptEnded(
                    oldest.request, 0, oldest.backend, true, Outcome.OK, now - sentAt.get(oldest.request), null));
        }
    }

    /** Times out the attempts of all requests that have been open for at least {@code age}. */
    void timeOutOldest(long age) {
        for (Sent old : List.copyOf(sent)) {
            if (sentAt.get(old.request) <= now - age && open.remove(old.request)) {
                on(new AttemptEnded(
                        old.request, 0, old.backend, false, Outcome.TIMED_OUT, now - sentAt.get(old.request), null));
            }
        }
    }

    /** Advances the time to {@code until} and fires the timers that are due by then. */
    void advanceTo(long until) {
        while (true) {
            PendingTimer due = null;
            for (PendingTimer timer : timers) {
                if (timer.at <= until && (due == null || timer.at < due.at)) {
                    due = timer;
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

    String lastAction() {
        return actions.isEmpty() ? "" : actions.get(actions.size() - 1);
    }

    @Override
    public void send(long request, String backend, long timeout) {
        sent.add(new Sent(request, backend, timeout));
        sentAt.put(request, now);
        open.add(request);
        actions.add("send " + request + " " + backend);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        actions.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        actions.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void startTimer(long delay, int purpose, long subject) {
        timers.add(new PendingTimer(now + delay, new Timer(purpose, subject)));
    }

    @Override
    public void subscribe(boolean on) {
        actions.add("subscribe " + on);
    }

    @Override
    public void fetchList() {
        actions.add("fetch");
    }

    @Override
    public void probe(String backend) {
        actions.add("probe " + backend);
    }

    @Override
    public void closeIdleConnections(String backend) {
        actions.add("close " + backend);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        actions.add("tell " + peer);
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
