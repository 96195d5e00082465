package calicochute.lab.referee;

import calicochute.lab.scenario.Scenario.Effect;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from what passed on the sockets, and from nothing else, whether the rules were kept. It knows neither load
 * nor emulator: whoever stands at a socket tells it what came and went, with the time (Unix microseconds). Without I/O
 * and clock of its own. Each breach is noted once for a session and rule.
 */
public final class Referee {
    /**
     * Two connections' events are read in either order when they come in one moment: a dispatch counts as a second one
     * only if the first's end is not seen within this time.
     */
    public static final long ORDER_TOLERANCE = 20_000;

    private final long drainGrace;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Map<String, Long>> told = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Long> pausedAt = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private long dispatches;

    private static final class Session {
        final String id;
        final String balancer;
        final ClassRule rule;
        final long deadline;
        final List<Dispatch> dispatches = new ArrayList<>(1);
        final Set<Rule> broken = EnumSet.noneOf(Rule.class);
        boolean answered;
        boolean over;

        Session(String id, String balancer, ClassRule rule, long deadline) {
            this.id = id;
            this.balancer = balancer;
            this.rule = rule;
            this.deadline = deadline;
        }
    }

    /** One attempt that was written whole to a server. */
    public static final class Dispatch {
        private final Session session;
        private final String server;
        private final long at;
        private long endedAt = Long.MAX_VALUE;
        private boolean neverRan;

        private Dispatch(Session session, String server, long at) {
            this.session = session;
            this.server = server;
            this.at = at;
        }
    }

    /** @param drainGrace microseconds for which a server may get new work after it is known to drain or be gone */
    public Referee(long drainGrace) {
        this.drainGrace = drainGrace;
    }

    /** A session was written whole to a balancer; the client waits until {@code deadline}. */
    public void taken(long at, String id, String balancer, ClassRule rule, long deadline) {
        Session session = new Session(id, balancer, rule, deadline);
        // Its connections stay open until the system has taken the process down: what is written on them meanwhile is
        // nobody's fault either.
        session.over = killed.contains(balancer);
        sessions.put(id, session);
    }

    /** A balancer's process was ended on purpose: what it held is nobody's fault. */
    public void killed(String balancer) {
        for (Session session : sessions.values()) {
            if (session.balancer.equals(balancer) && !session.answered) {
                session.over = true;
            }
        }
        told.remove(balancer);
        pausedAt.remove(balancer);
        killed.add(balancer);
    }

    /** A process of the balancer starts: what is taken from now on is its own. */
    public void started(String balancer) {
        killed.remove(balancer);
    }

    /**
     * A balancer's process was stopped on purpose, or goes on: what it held is nobody's fault, and what it was told
     * meanwhile it can only have read from now on.
     */
    public void paused(long at, String balancer, boolean on) {
        if (on) {
            pausedAt.put(balancer, at);
            return;
        }
        Long since = pausedAt.remove(balancer);
        if (since == null) {
            return;
        }
        for (Session session : sessions.values()) {
            if (session.balancer.equals(balancer) && !session.answered) {
                session.over = true;
            }
        }
        told.getOrDefault(balancer, new HashMap<>()).replaceAll((server, t) -> t >= since ? at : t);
    }

    /** A whole answer came to the client. {@code token} is what servers put into their answers' bodies. */
    public void answered(long at, String id, int status, String token) {
        Session session = sessions.get(id);
        if (session == null) {
            return;
        }
        if (session.answered) {
            breach(session, Rule.ANSWERED_TWICE, "", at, "status " + status);
            return;
        }
        session.answered = true;
        if (status == 200 && session.dispatches.stream().noneMatch(d -> token(d).equals(token))) {
            breach(session, Rule.FORGED, "", at, "answer '" + token.substring(0, Math.min(60, token.length())) + "'");
        }
        if ((status == 429 || status == 503) && session.rule.effect() == Effect.ONCE) {
            session.dispatches.stream()
                    .filter(d -> !d.neverRan)
                    .findFirst()
                    .ifPresent(d -> breach(session, Rule.DENIED_AFTER_RUN, d.server, at, "dispatched at " + d.at));
        }
    }

    /** Bytes came to the client behind the answer. */
    public void answeredAgain(long at, String id) {
        Session session = sessions.get(id);
        if (session != null) {
            breach(session, Rule.ANSWERED_TWICE, "", at, "bytes behind the answer");
        }
    }

    /** The balancer ended the client's connection, or its time is over, and no whole answer has come. */
    public void unanswered(long at, String id, String how) {
        Session session = sessions.get(id);
        if (session != null && !session.answered && !session.over && !pausedAt.containsKey(session.balancer)) {
            breach(session, Rule.LOST, "", at, how + ", deadline " + session.deadline);
        }
    }

    /** The client left before its time: no answer is owed. */
    public void left(String id) {
        Session session = sessions.get(id);
        if (session != null) {
            session.over = true;
        }
    }

    /** A dispatch came whole to a server. Null if its id is that of no session. */
    public Dispatch dispatched(long firstByteAt, long at, String id, String server) {
        dispatches++;
        Session session = id == null ? null : sessions.get(id);
        if (session == null) {
            breaches.add(new Breach(Rule.UNKNOWN, "", String.valueOf(id), server, at, ""));
            return null;
        }
        Dispatch dispatch = new Dispatch(session, server, at);
        Long since = told.getOrDefault(session.balancer, Map.of()).get(server);
        if (since != null && firstByteAt > since + drainGrace) {
            breach(session, Rule.DRAINED, server, at, "told at " + since + ", sent at " + firstByteAt);
        }
        Dispatch maybe =
                session.dispatches.stream().filter(d -> !d.neverRan).findFirst().orElse(null);
        if (maybe != null
                && (session.rule.effect() == Effect.ONCE
                        || session.rule.effect() == Effect.KEYED && at > maybe.at + session.rule.window())) {
            breach(session, Rule.RAN_TWICE, server, at, "first sent to " + maybe.server + " at " + maybe.at);
        }
        session.dispatches.add(dispatch);
        return dispatch;
    }

    /** The server said that it has not run it, or it can't have; that also ends it. */
    public void neverRan(long at, Dispatch dispatch) {
        if (dispatch != null) {
            dispatch.neverRan = true;
            ended(at, dispatch);
        }
    }

    /** The server's answer was written whole, or either side ended the connection. */
    public void ended(long at, Dispatch dispatch) {
        if (dispatch != null && dispatch.endedAt == Long.MAX_VALUE) {
            dispatch.endedAt = at;
        }
    }

    /** What an answer made for this dispatch says; nobody else makes the same. */
    public static String token(Dispatch dispatch) {
        return dispatch == null ? "" : dispatch.session.id + " by " + dispatch.server + " at " + dispatch.at;
    }

    /** A balancer was told that a server drains or is gone, for the first time. */
    public void toldLeaving(long at, String balancer, String server) {
        told.computeIfAbsent(balancer, b -> new HashMap<>()).putIfAbsent(server, at);
    }

    /** A balancer was told that a server is ready. */
    public void toldReady(String balancer, String server) {
        told.getOrDefault(balancer, new HashMap<>()).remove(server);
    }

    /**
     * A cold server fell over under the sum of what all balancers sent; {@code informed} is the part of that work which
     * came from balancers told of its start. Over two thirds of it make it their fault.
     */
    public void fellOver(long at, String server, double informed) {
        if (informed > 2.0 / 3) {
            breaches.add(new Breach(
                    Rule.PUSHED_OVER, "", "", server, at, "informed share " + Math.round(informed * 100) + "%"));
        }
    }

    private void breach(Session session, Rule rule, String server, long at, String details) {
        if (session.broken.add(rule)) {
            breaches.add(new Breach(rule, session.balancer, session.id, server, at, details));
        }
    }

    /** The last look, at the end of the run: what can only be judged with hindsight. All breaches, by time. */
    public List<Breach> verdict() {
        for (Session session : sessions.values()) {
            List<Dispatch> all = session.dispatches;
            for (int i = 1; i < all.size(); i++) {
                for (int j = 0; j < i; j++) {
                    if (all.get(j).endedAt > all.get(i).at + ORDER_TOLERANCE) {
                        breach(
                                session,
                                Rule.TWO_AT_ONCE,
                                all.get(i).server,
                                all.get(i).at,
                                "the one to " + all.get(j).server + " of " + all.get(j).at + " was still out");
                    }
                }
            }
        }
        List<Breach> sorted = new ArrayList<>(breaches);
        sorted.sort(java.util.Comparator.comparingLong(Breach::at));
        return sorted;
    }

    /** How many dispatches were seen. */
    public long dispatches() {
        return dispatches;
    }

    /** How many dispatches a session had. */
    public int dispatches(String id) {
        Session session = sessions.get(id);
        return session == null ? 0 : session.dispatches.size();
    }
}
