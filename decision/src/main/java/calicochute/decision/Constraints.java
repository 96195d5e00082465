package calicochute.decision;

import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.RequestClass;

/** The rules, one predicate each: every send has passed {@link #maySend}, every refusal {@link #mayRefuse}. */
record Constraints(BalancerState state, ColdStartBudget coldStartBudget) {
    boolean maySend(Request request, TrackedBackend backend) {
        return mayStillSend(request)
                && ready(backend)
                && noAttemptPending(request)
                && effectAllows(request, backend)
                && coldStartBudget.allows(backend);
    }

    /** Whether the request has no final answer and has time and attempts left. */
    boolean mayStillSend(Request request) {
        return !request.ended && state.now < request.deadline && request.sent < request.maxAttempts;
    }

    static boolean ready(TrackedBackend backend) {
        return backend.listed && backend.entry.state() == BackendState.READY;
    }

    /** Rules out second copies: a late attempt mostly is slow work under high load, which a copy would double. */
    private static boolean noAttemptPending(Request request) {
        return !request.pending();
    }

    private boolean effectAllows(Request request, TrackedBackend backend) {
        if (runsFreely(request)) {
            return true;
        }
        Attempt first = request.firstThatMayHaveRun();
        RequestClass requestClass = state.classOf(request);
        return boundToKey(request)
                && state.now - first.sentAt < requestClass.window()
                && sameScope(requestClass, first.sentTo, backend.entry);
    }

    /**
     * Whether the request avoids backends of unknown health: it may not run twice everywhere, and other requests can
     * find out which backends are bad.
     */
    boolean careful(Request request) {
        return state.anyRepeatable && state.classOf(request).effect() != Effect.REPEATABLE;
    }

    /** No attempt may have run, or the request may run again. */
    private boolean runsFreely(Request request) {
        return request.firstThatMayHaveRun() == null || state.classOf(request).effect() == Effect.REPEATABLE;
    }

    private static boolean sameScope(RequestClass requestClass, Balancer.Backend first, Balancer.Backend second) {
        boolean zone = first.zone().equals(second.zone());
        boolean cell = first.cell() == second.cell();
        return requestClass.scope() == KeyScope.ALL || (requestClass.scope() == KeyScope.ZONE ? zone : cell);
    }

    /** Whether a repeat has to reach a backend that remembers the key. */
    boolean boundToKey(Request request) {
        return request.firstThatMayHaveRun() != null && state.classOf(request).effect() == Effect.KEYED;
    }

    boolean mayRefuse(Request request) {
        return runsFreely(request)
                || boundToKey(request) && state.classOf(request).scope() == KeyScope.ALL;
    }
}
