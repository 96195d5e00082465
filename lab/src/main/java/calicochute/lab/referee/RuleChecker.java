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
 * Checks whether balancers keep the rules, only from what was sent and received on the sockets. It does not depend on
 * the load or the emulator: the emulated clients, servers and discovery report each event with its Unix time in
 * microseconds. It does no I/O and has no clock. A breach is recorded once per session and rule.
 */
public final class RuleChecker {
    /**
     * Simultaneous events of two connections may be read in either order. Two dispatches of a session therefore count
     * as concurrent only if the end of the first is not seen within this time after the second.
     */
    public static final long EVENT_ORDER_TOLERANCE_MICROS = 20_000;

    private final long drainGraceMicros;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Map<String, Long>> toldLeavingAt = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Long> pausedAt = new HashMap<>();
    private final Set<String> killedBalancers = new HashSet<>();
    private long dispatches;

    private static final class Session {
        final String id;
        final String balancer;
        final ClassRule classRule;
        final long deadline;
        final List<Dispatch> dispatches = new ArrayList<>(1);
        final Set<Rule> brokenRules = EnumSet.noneOf(Rule.class);
        boolean answered;
        boolean excused;

        Session(String id, String balancer, ClassRule classRule, long deadline) {
            this.id = id;
            this.balancer = balancer;
            this.classRule = classRule;
            this.deadline = deadline;
        }
    }

    /** One dispatch of a session that a server has read completely. */
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

    /**
     * @param drainGraceMicros how long a balancer may still send to a server after it was told that the server leaves
     */
    public RuleChecker(long drainGraceMicros) {
        this.drainGraceMicros = drainGraceMicros;
    }

    /** A session has been sent completely to a balancer; its client waits until {@code deadline}. */
    public void sessionSent(long at, String id, String balancer, ClassRule classRule, long deadline) {
        Session session = new Session(id, balancer, classRule, deadline);
        // The connections of a killed process stay open until the operating system has ended it; sessions sent on them
        // in the meantime are excused too.
        session.excused = killedBalancers.contains(balancer);
        sessions.put(id, session);
    }

    /** The lab has killed a balancer's process: its unanswered sessions are excused. */
    public void balancerKilled(String balancer) {
        for (Session session : sessions.values()) {
            if (session.balancer.equals(balancer) && !session.answered) {
                session.excused = true;
            }
        }
        toldLeavingAt.remove(balancer);
        pausedAt.remove(balancer);
        killedBalancers.add(balancer);
    }

    /** A new process of the balancer starts: it is responsible for the sessions sent from now on. */
    public void balancerStarted(String balancer) {
        killedBalancers.remove(balancer);
    }

    /**
     * The lab has paused a balancer's process or lets it continue. Sessions unanswered at the end of the pause are
     * excused, and what the balancer was told during the pause counts as told at its end, since it could not read it
     * before.
     */
    public void balancerPaused(long at, String balancer, boolean pause) {
        if (pause) {
            pausedAt.put(balancer, at);
            return;
        }
        Long since = pausedAt.remove(balancer);
        if (since == null) {
            return;
        }
        for (Session session : sessions.values()) {
            if (session.balancer.equals(balancer) && !session.answered) {
                session.excused = true;
            }
        }
        toldLeavingAt
                .getOrDefault(balancer, new HashMap<>())
                .replaceAll((server, toldAt) -> toldAt >= since ? at : toldAt);
    }

    /** A complete response has reached the client; {@code token} is its body, which a server sets to its token. */
    public void responseReceived(long at, String id, int status, String token) {
        Session session = sessions.get(id);
        if (session == null) {
            return;
        }
        if (session.answered) {
            addBreach(session, Rule.ANSWERED_TWICE, "", at, "status " + status);
            return;
        }
        session.answered = true;
        if (status == 200
                && session.dispatches.stream()
                        .noneMatch(dispatch -> responseToken(dispatch).equals(token))) {
            addBreach(
                    session, Rule.FORGED, "", at, "answer '" + token.substring(0, Math.min(60, token.length())) + "'");
        }
        if ((status == 429 || status == 503) && session.classRule.effect() == Effect.ONCE) {
            session.dispatches.stream()
                    .filter(dispatch -> !dispatch.neverRan)
                    .findFirst()
                    .ifPresent(dispatch -> addBreach(
                            session, Rule.DENIED_AFTER_RUN, dispatch.server, at, "dispatched at " + dispatch.at));
        }
    }

    /** Bytes have reached the client after the complete response. */
    public void extraBytesReceived(long at, String id) {
        Session session = sessions.get(id);
        if (session != null) {
            addBreach(session, Rule.ANSWERED_TWICE, "", at, "bytes behind the answer");
        }
    }

    /** The balancer has closed the client's connection, or the deadline has passed, without a complete response. */
    public void sessionUnanswered(long at, String id, String reason) {
        Session session = sessions.get(id);
        if (session != null && !session.answered && !session.excused && !pausedAt.containsKey(session.balancer)) {
            addBreach(session, Rule.LOST, "", at, reason + ", deadline " + session.deadline);
        }
    }

    /** The client has closed the connection early: no response is required. */
    public void clientLeft(String id) {
        Session session = sessions.get(id);
        if (session != null) {
            session.excused = true;
        }
    }

    /** A server has read a dispatch completely. Returns null if its id is not that of a session. */
    public Dispatch dispatchReceived(long firstByteAt, long at, String id, String server) {
        dispatches++;
        Session session = id == null ? null : sessions.get(id);
        if (session == null) {
            breaches.add(new Breach(Rule.UNKNOWN, "", String.valueOf(id), server, at, ""));
            return null;
        }
        Dispatch dispatch = new Dispatch(session, server, at);
        Long since = toldLeavingAt.getOrDefault(session.balancer, Map.of()).get(server);
        if (since != null && firstByteAt > since + drainGraceMicros) {
            addBreach(session, Rule.DRAINED, server, at, "told at " + since + ", sent at " + firstByteAt);
        }
        Dispatch mayHaveRun = session.dispatches.stream()
                .filter(earlier -> !earlier.neverRan)
                .findFirst()
                .orElse(null);
        if (mayHaveRun != null
                && (session.classRule.effect() == Effect.ONCE
                        || session.classRule.effect() == Effect.KEYED
                                && at > mayHaveRun.at + session.classRule.window())) {
            addBreach(
                    session, Rule.RAN_TWICE, server, at, "first sent to " + mayHaveRun.server + " at " + mayHaveRun.at);
        }
        session.dispatches.add(dispatch);
        return dispatch;
    }

    /** The server has not run the dispatch, and says so or cannot have run it; this also ends the dispatch. */
    public void dispatchNotRun(long at, Dispatch dispatch) {
        if (dispatch != null) {
            dispatch.neverRan = true;
            dispatchEnded(at, dispatch);
        }
    }

    /** The server has sent the complete response, or either side has closed the connection. */
    public void dispatchEnded(long at, Dispatch dispatch) {
        if (dispatch != null && dispatch.endedAt == Long.MAX_VALUE) {
            dispatch.endedAt = at;
        }
    }

    /**
     * The body of the response to this dispatch. It is unique, so that a response made up by a balancer is detected.
     */
    public static String responseToken(Dispatch dispatch) {
        return dispatch == null ? "" : dispatch.session.id + " by " + dispatch.server + " at " + dispatch.at;
    }

    /** Discovery has told a balancer that a server drains or is gone; the first time counts. */
    public void toldLeaving(long at, String balancer, String server) {
        toldLeavingAt.computeIfAbsent(balancer, name -> new HashMap<>()).putIfAbsent(server, at);
    }

    /** Discovery has told a balancer that a server is ready. */
    public void toldReady(String balancer, String server) {
        toldLeavingAt.getOrDefault(balancer, new HashMap<>()).remove(server);
    }

    /**
     * A cold server has collapsed under the work from all balancers. It is a breach if more than two thirds of that
     * work, given by {@code informedShare}, came from balancers that had been told of the server's start.
     */
    public void coldServerCollapsed(long at, String server, double informedShare) {
        if (informedShare > 2.0 / 3) {
            breaches.add(new Breach(
                    Rule.PUSHED_OVER, "", "", server, at, "informed share " + Math.round(informedShare * 100) + "%"));
        }
    }

    private void addBreach(Session session, Rule rule, String server, long at, String details) {
        if (session.brokenRules.add(rule)) {
            breaches.add(new Breach(rule, session.balancer, session.id, server, at, details));
        }
    }

    /** All breaches, by time, including concurrent dispatches, which can only be checked at the end of a run. */
    public List<Breach> allBreaches() {
        for (Session session : sessions.values()) {
            List<Dispatch> inOrder = session.dispatches;
            for (int i = 1; i < inOrder.size(); i++) {
                for (int j = 0; j < i; j++) {
                    if (inOrder.get(j).endedAt > inOrder.get(i).at + EVENT_ORDER_TOLERANCE_MICROS) {
                        addBreach(
                                session,
                                Rule.TWO_AT_ONCE,
                                inOrder.get(i).server,
                                inOrder.get(i).at,
                                "the one to " + inOrder.get(j).server + " of " + inOrder.get(j).at + " was still out");
                    }
                }
            }
        }
        List<Breach> sorted = new ArrayList<>(breaches);
        sorted.sort(java.util.Comparator.comparingLong(Breach::at));
        return sorted;
    }

    /** How many dispatches servers have received. */
    public long dispatches() {
        return dispatches;
    }

    /** How many dispatches of a session servers have received. */
    public int dispatches(String id) {
        Session session = sessions.get(id);
        return session == null ? 0 : session.dispatches.size();
    }
}
