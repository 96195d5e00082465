package calicochute.fleet;

import calicochute.decision.Balancer.Backend;
import calicochute.experiment.Arm;
import calicochute.experiment.Counts;
import calicochute.experiment.Experiment;
import calicochute.experiment.Experiment.Server;
import calicochute.experiment.GatheredCounts;
import calicochute.experiment.SealedWindow;
import calicochute.experiment.SessionCounter;
import calicochute.experiment.SessionCounter.Enrollment;
import calicochute.experiment.State;
import calicochute.experiment.Stopper;
import calicochute.experiment.UnreadableException;
import calicochute.experiment.Verdict;
import calicochute.experiment.seal.Effect;
import calicochute.experiment.seal.Register;
import calicochute.experiment.seal.SlotId;
import calicochute.experiment.seal.Timing;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFileReader;
import calicochute.outcomes.Owners;
import calicochute.outcomes.Windows;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * One experiment at one balancer: assigns and counts its sessions, sends the counts of closed windows to the balancers
 * that may seal them, and proposes sealed windows if this balancer is one of those. Verdicts are read from the
 * replicated register only, so that they are the same at all balancers. Runs on the decision thread.
 */
final class ExperimentRunner {
    /**
     * Number of windows from a decision to start the experiment or to change its share until it takes effect; by then
     * all balancers know of it.
     */
    private static final int LEAD_WINDOWS = 5;
    /** Number of balancers that may propose a sealed window, chosen and ranked by a hash of the experiment's name. */
    private static final int PROPOSER_COUNT = 3;
    /** Time after the last deadline of a window for the counts of all balancers to arrive. */
    private static final long SETTLE_MICROS = 700_000;

    /** Further time after which a window is sealed without the live balancers whose counts are missing. */
    private static final long MISSING_COUNTS_GRACE_MICROS = 2_500_000;
    /** Counts of windows further in the past are ignored. */
    private static final int MAX_WINDOWS_BEHIND = 64;

    /** The services that this class needs. */
    interface Host {
        /** Sends a peer this balancer's counts of a window. */
        void sendCounts(String name, String peer, byte[] counts);

        /** Sends a peer a message of the register. */
        void sendSealMessage(String name, String peer, byte[] message);

        /** Saves the register's state; {@code onSaved} gets the token afterwards, at once if there is no storage. */
        void persist(String name, byte[] state, long token, LongConsumer onSaved);
    }

    private final Experiment experiment;
    private final String name;
    private final Windows windows;
    private final List<String> peers;
    private final String me;
    private final LongSupplier longestDeadline;
    private final Host host;
    private final Stopper stopper;
    private final Register register;
    private final TreeMap<Long, Map<String, Counts>> gathered = new TreeMap<>();
    private State state;
    private SessionCounter sessionCounter;
    private long proposedWindow = Long.MIN_VALUE;
    private int proposedCounts;
    private final CountsSender countsSender;
    private final long startMicros;
    private long unreadable;
    private Collection<String> lastLive = List.of();

    /**
     * @param startMicros start time of this process
     * @param longestDeadline longest deadline of the classes in force, in microseconds; a reload may increase it within
     *     a window
     * @param hasStorage whether the register's state survives a restart
     * @param savedState the register's saved state, null for none
     */
    ExperimentRunner(
            Experiment experiment,
            Windows windows,
            List<String> peers,
            String me,
            long startMicros,
            LongSupplier longestDeadline,
            boolean hasStorage,
            byte[] savedState,
            Host host) {
        this.experiment = experiment;
        this.windows = windows;
        this.peers = peers;
        this.me = me;
        this.longestDeadline = longestDeadline;
        this.host = host;
        this.startMicros = startMicros;
        stopper = new Stopper(experiment, windows.length(), LEAD_WINDOWS);
        name = experiment.name() + "@" + Integer.toHexString(stopper.definition());
        countsSender = new CountsSender(me, (peer, counts) -> host.sendCounts(name, peer, counts));
        register = new Register(
                experiment.name(),
                stopper.definition(),
                peers,
                me,
                startMicros,
                hasStorage,
                savedState,
                Timing.DEFAULT);
        readState(false);
    }

    /** The experiment's name with a hash of its definition, so that a changed experiment has another name. */
    String name() {
        return name;
    }

    Experiment experiment() {
        return experiment;
    }

    /** The arm that a server belongs to, or null. */
    Arm armOf(Backend backend) {
        Server server = OperatorFileReader.server(backend);
        return experiment.control().selects(server)
                ? Arm.CONTROL
                : experiment.treatment().selects(server) ? Arm.TREATMENT : null;
    }

    /** Assigns a session; null if it does not take part, or the experiment has not started. */
    Enrollment sessionStarted(
            long nowMicros, long deadlineMicros, String callId, String className, String tenant, boolean retry) {
        return sessionCounter == null
                ? null
                : sessionCounter.begin(nowMicros, deadlineMicros, callId, className, tenant, retry);
    }

    /** Counts a session that has taken part. */
    void sessionEnded(
            Enrollment enrollment,
            double worthRequested,
            double worthServed,
            boolean failed,
            boolean crossedOver,
            String server) {
        sessionCounter.end(enrollment, worthRequested, worthServed, failed, crossedOver, server);
    }

    // ---- Counts

    void onCounts(long nowMicros, String from, byte[] body) {
        try {
            addCounts(nowMicros, from, Counts.fromBytes(body));
        } catch (UnreadableException e) {
            unreadable++;
        }
    }

    private void addCounts(long nowMicros, String from, Counts counts) {
        long window = counts.window();
        boolean relevant = state != null
                && window > state.window()
                && window <= windows.number(nowMicros)
                && window > windows.number(nowMicros) - MAX_WINDOWS_BEHIND;
        if (relevant) {
            gathered.computeIfAbsent(window, key -> new HashMap<>())
                    .merge(
                            from,
                            counts,
                            (first, second) -> first.equals(second)
                                    ? first
                                    : GatheredCounts.EMPTY
                                            .with(from, first)
                                            .with(from, second)
                                            .ofWindow(window)
                                            .get(from));
        }
    }

    // ---- Periodic work

    void tick(long nowMicros, Collection<String> live) {
        if (!lastLive.equals(live)) {
            lastLive = live;
            countsSender.setProposers(Owners.of("experiment " + name, live, PROPOSER_COUNT));
        }
        int rank = countsSender.rank();
        register.setRank(rank < 0 ? PROPOSER_COUNT : rank);
        register.tick(nowMicros);
        if (sessionCounter != null) {
            sendClosedWindows(nowMicros);
        }
        if (rank >= 0) {
            propose(nowMicros, live);
        }
        perform(nowMicros);
    }

    private void sendClosedWindows(long nowMicros) {
        countsSender.resend(nowMicros);
        for (Counts counts : sessionCounter.closeWindows(nowMicros)) {
            if (counts.window() > state.window()) {
                addCounts(nowMicros, me, counts);
                countsSender.send(nowMicros, counts);
            }
        }
    }

    private void propose(long nowMicros, Collection<String> live) {
        SlotId decidedSlot = register.decidedSlot();
        if (state == null) {
            register.propose(
                    nowMicros,
                    decidedSlot,
                    stopper.initialState(windows.number(nowMicros) + LEAD_WINDOWS)
                            .toBytes());
            return;
        }
        long window = state.window() + 1;
        Map<String, Counts> received = gathered.getOrDefault(window, Map.of());
        long dueMicros = windows.end(window) + longestDeadline.getAsLong() + SETTLE_MICROS;
        boolean complete = received.keySet().containsAll(live);
        if (state.isFinished(experiment)
                || nowMicros < dueMicros
                || !complete && nowMicros < dueMicros + MISSING_COUNTS_GRACE_MICROS
                || proposedWindow == window && proposedCounts == received.size()) {
            return;
        }
        proposedWindow = window;
        proposedCounts = received.size();
        SealedWindow sealed = SealedWindow.of(experiment, window, state.share(window), received, peers);
        register.propose(nowMicros, decidedSlot, stopper.advance(state, sealed).toBytes());
    }

    void onSealMessage(long nowMicros, String from, byte[] message) {
        register.received(nowMicros, from, message);
        perform(nowMicros);
    }

    private void perform(long nowMicros) {
        for (List<Effect> effects = register.effects(); !effects.isEmpty(); effects = register.effects()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    host.sendSealMessage(name, send.recipient(), send.message());
                } else if (effect instanceof Effect.Persist persist) {
                    host.persist(name, persist.state(), persist.token(), token -> {
                        register.persisted(token);
                        perform(nowMicros);
                    });
                } else if (effect instanceof Effect.EpochBegun begun) {
                    Log.info(
                            "experiment-epoch",
                            "name=" + name + " epoch="
                                    + begun.baseSlot().epoch().number() + " lost=" + begun.stateLost());
                } else if (effect instanceof Effect.Decided) {
                    readState(true);
                }
            }
        }
    }

    /** Takes the experiment's state from the register, which holds the same value at all balancers. */
    private void readState(boolean log) {
        byte[] value = register.value();
        if (value.length == 0) {
            state = null;
            sessionCounter = null;
            return;
        }
        try {
            State before = state;
            State current = State.fromBytes(value);
            if (!stopper.matchesDefinition(current)) {
                throw new UnreadableException("the state belongs to another definition of the experiment");
            }
            state = current;
            gathered.headMap(state.window(), true).clear();
            countsSender.sealed(state.window());
            if (sessionCounter == null) {
                sessionCounter = new SessionCounter(
                        experiment,
                        peers.indexOf(me),
                        peers.size(),
                        state.firstWindow(),
                        windows.number(startMicros),
                        windows.length(),
                        window -> state.share(window));
            }
            if (log) {
                ExperimentReport.log(name, before, state, report());
            }
        } catch (UnreadableException e) {
            unreadable++;
            Log.warn("experiment-unreadable", "name=" + name + " " + e.getMessage());
        }
    }

    Verdict verdict() {
        return state == null ? Verdict.NONE : state.verdict();
    }

    /** One line for operators. */
    String report() {
        return ExperimentReport.line(name, state, register, unreadable);
    }
}
