package calicochute.lab.emulator;

import calicochute.lab.plan.Arrival;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients and the plain front layer before the balancers: sends each request at its planned time whatever became of
 * the others, asks again as its habits say, and notes how it ended. The front shares out requests among the balancers
 * of a zone that it holds for alive.
 */
final class ClientHost {
    private static final long SLACK = 1000;
    private final Site site;
    private final Scenario.Clients habits;
    private final List<Root> roots = new ArrayList<>();
    private final Map<String, TreeMap<String, Caller>> front = new LinkedHashMap<>();
    private final UniformRandomProvider choice;
    private final Consumer<Root> onEnd;
    private int open;

    ClientHost(Site site, Consumer<Root> onEnd) {
        this.site = site;
        this.onEnd = onEnd;
        habits = site.scenario.clients();
        choice = site.streams.of("front", 0);
        site.scenario.zones().names().forEach(z -> front.put(z, new TreeMap<>()));
    }

    /** The front takes a balancer in. */
    void takeIn(BalancerHost balancer) {
        front.get(balancer.spec().zone())
                .put(
                        balancer.spec().name(),
                        new Caller(
                                site,
                                balancer.spec(),
                                balancer.address(),
                                site.scenario.zones().client().micros(),
                                Math.max(8, site.scenario.balancers().descriptors() / 3)));
    }

    /** The front has noticed that a balancer is gone. */
    void leaveOut(BalancerHost balancer) {
        front.get(balancer.spec().zone()).remove(balancer.spec().name());
    }

    /** Sends all arrivals, planned from {@code start} on. */
    void send(List<Arrival> arrivals, long start) {
        if (!arrivals.isEmpty()) {
            next(arrivals, 0, start);
        }
    }

    /** One timer at a time: the next arrival's. */
    private void next(List<Arrival> arrivals, int index, long start) {
        Arrival arrival = arrivals.get(index);
        site.eventLoop.scheduleAt(start + arrival.at(), () -> {
            if (index + 1 < arrivals.size()) {
                next(arrivals, index + 1, start);
            }
            Root root = new Root(
                    arrival, start + arrival.at(), site.scenario.tiers().size());
            roots.add(root);
            open++;
            tryOnce(root, false);
        });
    }

    List<Root> roots() {
        return roots;
    }

    /** Requests whose end is not known yet. */
    int open() {
        return open;
    }

    /** The key of a keyed request, the same for all its tries and calls. */
    static String key(Site site, Root root) {
        return site.classOf(root).effect() == Effect.KEYED
                ? String.format("%016x%08x", site.streams.seed(), root.arrival.number())
                : null;
    }

    private void tryOnce(Root root, boolean again) {
        RequestClass c = site.classOf(root);
        long left = root.plannedAt + c.giveUp().micros() - site.eventLoop.now();
        root.tries++;
        List<Caller> balancers = balancers(root.arrival.zone());
        if (balancers.isEmpty()) {
            ended(root, null);
            return;
        }
        double draw = again ? choice.nextDouble() : root.arrival.balancerDraw();
        Caller caller = balancers.get((int) (draw * balancers.size()));
        long patience = Math.min(left, Math.round(c.giveUp().micros() * root.arrival.patience()));
        Request request = site.request(root, 0, caller.balancer());
        caller.ask(request, key(site, root), again && habits.marksRetry(), patience, r -> ended(root, r));
    }

    /** Those of the client's zone, else any. */
    private List<Caller> balancers(int zone) {
        List<Caller> near =
                List.copyOf(front.get(site.scenario.zones().names().get(zone)).values());
        return !near.isEmpty()
                ? near
                : front.values().stream().flatMap(m -> m.values().stream()).toList();
    }

    private void ended(Root root, Caller.Result result) {
        long now = site.eventLoop.now();
        if (result != null && result.served()) {
            Root.End end = now - root.plannedAt <= site.classOf(root).aim().micros() ? Root.End.SERVED : Root.End.LATE;
            root.workUsed = root.workDone;
            close(root, end, now);
            return;
        }
        boolean denied = result != null && result.denied();
        root.denials += denied ? 1 : 0;
        long pause = pause(root, result);
        if (mayAsk(root, result, now + pause)) {
            site.eventLoop.scheduleAfter(pause, () -> tryOnce(root, true));
            return;
        }
        close(
                root,
                result == null || result.end() == Caller.End.UNREACHABLE
                        ? Root.End.UNREACHABLE
                        : denied
                                ? Root.End.DENIED
                                : result.end() == Caller.End.SILENT ? Root.End.SILENT : Root.End.FAILED,
                now);
    }

    private boolean mayAsk(Root root, Caller.Result result, long when) {
        RequestClass c = site.classOf(root);
        if (root.tries > habits.retries() || when >= root.plannedAt + c.giveUp().micros() - SLACK) {
            return false;
        }
        if (result == null || result.denied() || result.end() == Caller.End.UNREACHABLE) {
            return true;
        }
        return c.effect() == Effect.REPEATABLE
                || c.effect() == Effect.KEYED
                        && when < root.plannedAt + c.window().micros();
    }

    private long pause(Root root, Caller.Result result) {
        long own = switch (habits.backoff()) {
            case NONE -> 0;
            case FIXED -> habits.pause().micros();
            case DOUBLING -> habits.pause().micros() << Math.min(10, root.tries - 1);
        };
        return root.arrival.honours() && result != null ? Math.max(own, result.retryAfter()) : own;
    }

    private void close(Root root, Root.End end, long now) {
        root.end = end;
        root.endedAt = now;
        open--;
        onEnd.accept(root);
    }
}
