package calicochute.decision;

import java.util.TreeMap;

/** Moves what a module has learnt to the one that takes over; decides nothing. */
public final class Handover {
    private Handover() {}

    /** What the module knows as it counts now: aged, and bounded by the attempts that are out. */
    public static Learnt of(Balancer balancer) {
        Estimates estimates = ((Choice) balancer).estimates();
        Known from = estimates.known();
        var servers = new TreeMap<String, Learnt.OfServer>();
        for (Server s : from.servers.values()) {
            // Without the discount for the attempts out: the other module has none.
            servers.put(
                    s.id,
                    new Learnt.OfServer(
                            estimates.effective(s, false) * (1 + Estimates.CROWD * s.out),
                            s.polled,
                            s.entry.startedAt()));
        }
        var classes = new TreeMap<String, Learnt.OfClass>();
        from.named.forEach(
                (name, c) -> classes.put(name, new Learnt.OfClass(c.latency, c.base, c.answers, c.patience, c.votes)));
        return new Learnt(
                servers,
                classes,
                from.typical,
                from.limit,
                from.aimRatio,
                from.warmRate * from.warmSize,
                from.answerRate,
                from.retryTokens);
    }

    /** Takes it over as if learnt {@code age} ago, where this module has learnt nothing itself; after its list. */
    public static void recall(Balancer balancer, Learnt learnt, long nowMicros, long age) {
        Known to = ((Choice) balancer).known();
        learnt.servers().forEach((id, known) -> {
            Server s = to.servers.get(id);
            if (s != null && !s.polled && known.polled() && s.entry.startedAt() == known.startedAt()) {
                s.speed = known.speed();
                s.sampledAt = nowMicros - age;
                s.polled = true;
            }
        });
        learnt.classes().forEach((name, known) -> {
            Seen c = to.named.get(name);
            if (c != null && c.answers == 0) {
                c.latency = known.latency();
                c.base = known.base();
                c.answers = known.answers();
                c.patience = known.patience();
                c.votes = known.votes();
            }
        });
        to.typical = learnt.typical();
        to.limit = learnt.limit();
        to.aimRatio = learnt.aimRatio();
        // Noted for a server of mean size: sizes may be told on another scale by now.
        to.warmSize = to.use.length > 0 ? Known.sizes(to.use, s -> true).getAverage() : 1;
        to.warmRate = learnt.warmRate() / to.warmSize;
        to.answerRate = learnt.answerRate();
        to.retryTokens = learnt.retryTokens();
    }
}
