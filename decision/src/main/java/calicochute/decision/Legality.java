package calicochute.decision;

import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.RequestClass;

/** What the rules allow, one predicate a rule: every send passes maySend, every refusal mayRefuse. */
record Legality(Known known, ColdStarts coldStarts) {
    boolean maySend(Request r, Server s) {
        return stillOwed(r) && notDraining(s) && noCopyOut(r) && effectAllows(r, s) && coldStarts.allows(s);
    }

    boolean stillOwed(Request r) {
        return !r.ended && known.now < r.deadline && r.sent < r.most;
    }

    static boolean notDraining(Server s) {
        return s.listed && s.entry.state() == BackendState.READY;
    }

    /** DANGER: a copy of a late attempt is mostly one of slow work, when nothing bears more. */
    private static boolean noCopyOut(Request r) {
        return !r.out();
    }

    private boolean effectAllows(Request r, Server s) {
        if (runsFreely(r)) {
            return true;
        }
        Attempt first = r.firstThatMayHaveRun();
        RequestClass c = known.classOf(r);
        return bound(r) && known.now - first.sentAt < c.window() && sameGroup(c, first.to, s.entry);
    }

    /** Gets no second chance everywhere: others find out which backends are bad. */
    boolean careful(Request r) {
        return known.anyRepeatable && known.classOf(r).effect() != Effect.REPEATABLE;
    }

    /** No attempt may have run, or any may run again. */
    private boolean runsFreely(Request r) {
        return r.firstThatMayHaveRun() == null || known.classOf(r).effect() == Effect.REPEATABLE;
    }

    private static boolean sameGroup(RequestClass c, Balancer.Backend a, Balancer.Backend b) {
        boolean zone = a.zone().equals(b.zone()), cell = a.cell() == b.cell();
        return c.scope() == KeyScope.ALL || (c.scope() == KeyScope.ZONE ? zone : cell);
    }

    /** A repeat must reach one that remembers the key. */
    boolean bound(Request r) {
        return r.firstThatMayHaveRun() != null && known.classOf(r).effect() == Effect.KEYED;
    }

    boolean mayRefuse(Request r) {
        return runsFreely(r) || bound(r) && known.classOf(r).scope() == KeyScope.ALL;
    }
}
