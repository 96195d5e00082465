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
 * One experiment at one balancer: assigns and counts its sessions, tells the windows that are whole to those who may
 * seal them, and seals them where it is its turn. Verdicts come out of the register alone, so that all read the same.
 * On the decision thread.
 */
final class Trial {
    /**
     * Windows from the one in which an experiment is begun, or a share moved, to the first that counts: all have heard
     * by then.
     */
    private static final int LEAD = 5;
    /** Those who may seal: so many in the order of the name's hash. */
    private static final int SEALERS = 3;
    /**
     * Microseconds past the last deadline of a window: for the counts to arrive, and until those who have not told are
     * left out.
     */
    private static final long SETTLE = 700_000;

    private static final long GRACE = 2_500_000;
    private static final int MOST_WINDOWS = 64;

    /** What a trial needs of its surroundings. */
    interface Host {
        void counts(String name, String peer, byte[] counts);

        void seal(String name, String peer, byte[] message);

        /** {@code kept} hears the token once it is kept; at once where nothing outlives the process. */
        void keep(String name, byte[] state, long token, LongConsumer kept);
    }

    private final Experiment experiment;
    private final String name;
    private final Windows windows;
    private final List<String> peers;
    private final String me;
    private final LongSupplier deadline;
    private final Host host;
    private final Stopper stopper;
    private final Register register;
    private final TreeMap<Long, Map<String, Counts>> gathered = new TreeMap<>();
    private State state;
    private SessionCounter teller;
    private long proposedFor = Long.MIN_VALUE;
    private int proposedWith;
    private final OwnCounts own;
    private final long began;
    private long unreadable;
    private Collection<String> seen = List.of();

    /**
     * @param deadline the longest of any class as they are now, microseconds: a reload may lengthen it in the midst of
     *     a window
     * @param kept the register's state as last kept, null for none
     */
    Trial(
            Experiment experiment,
            Windows windows,
            List<String> peers,
            String me,
            long start,
            LongSupplier deadline,
            boolean remembers,
            byte[] kept,
            Host host) {
        this.experiment = experiment;
        this.windows = windows;
        this.peers = peers;
        this.me = me;
        this.deadline = deadline;
        this.host = host;
        began = start;
        stopper = new Stopper(experiment, windows.length(), LEAD);
        name = experiment.name() + "@" + Integer.toHexString(stopper.definition());
        own = new OwnCounts(me, (peer, counts) -> host.counts(name, peer, counts));
        register = new Register(
                experiment.name(), stopper.definition(), peers, me, start, remembers, kept, Timing.DEFAULT);
        read(false);
    }

    /** With the definition in it: one that is changed is another. */
    String name() {
        return name;
    }

    Experiment experiment() {
        return experiment;
    }

    /** The arm whose servers a server belongs to, or null. */
    Arm armOf(Backend b) {
        Server server = OperatorFileReader.server(b);
        return experiment.control().selects(server)
                ? Arm.CONTROL
                : experiment.treatment().selects(server) ? Arm.TREATMENT : null;
    }

    /** Null where the session is not in it, or it has not begun. */
    Enrollment begin(long now, long until, String call, String lane, String tenant, boolean retry) {
        return teller == null ? null : teller.begin(now, until, call, lane, tenant, retry);
    }

    void over(Enrollment ticket, double asked, double served, boolean failed, boolean crossed, String server) {
        teller.end(ticket, asked, served, failed, crossed, server);
    }

    // ---- Counts

    void heardCounts(long now, String from, byte[] body) {
        try {
            take(now, from, Counts.fromBytes(body));
        } catch (UnreadableException e) {
            unreadable++;
        }
    }

    private void take(long now, String from, Counts counts) {
        long window = counts.window();
        boolean wanted = state != null
                && window > state.window()
                && window <= windows.number(now)
                && window > windows.number(now) - MOST_WINDOWS;
        if (wanted) {
            gathered.computeIfAbsent(window, w -> new HashMap<>())
                    .merge(
                            from,
                            counts,
                            (a, b) -> a.equals(b)
                                    ? a
                                    : GatheredCounts.EMPTY
                                            .with(from, a)
                                            .with(from, b)
                                            .ofWindow(window)
                                            .get(from));
        }
    }

    // ---- Each tick

    void tick(long now, Collection<String> live) {
        if (!seen.equals(live)) {
            seen = live;
            own.sealers(Owners.of("experiment " + name, live, SEALERS));
        }
        int rank = own.rank();
        register.setRank(rank < 0 ? SEALERS : rank);
        register.tick(now);
        if (teller != null) {
            tell(now);
        }
        if (rank >= 0) {
            propose(now, live);
        }
        act(now);
    }

    private void tell(long now) {
        own.again(now);
        for (Counts counts : teller.closeWindows(now)) {
            if (counts.window() > state.window()) {
                take(now, me, counts);
                own.tell(now, counts);
            }
        }
    }

    private void propose(long now, Collection<String> live) {
        SlotId place = register.decidedSlot();
        if (state == null) {
            register.propose(
                    now, place, stopper.initialState(windows.number(now) + LEAD).toBytes());
            return;
        }
        long window = state.window() + 1;
        Map<String, Counts> heard = gathered.getOrDefault(window, Map.of());
        long due = windows.end(window) + deadline.getAsLong() + SETTLE;
        boolean all = heard.keySet().containsAll(live);
        if (state.isFinished(experiment)
                || now < due
                || !all && now < due + GRACE
                || proposedFor == window && proposedWith == heard.size()) {
            return;
        }
        proposedFor = window;
        proposedWith = heard.size();
        SealedWindow sealed = SealedWindow.of(experiment, window, state.share(window), heard, peers);
        register.propose(now, place, stopper.advance(state, sealed).toBytes());
    }

    void heardSeal(long now, String from, byte[] message) {
        register.received(now, from, message);
        act(now);
    }

    private void act(long now) {
        for (List<Effect> effects = register.effects(); !effects.isEmpty(); effects = register.effects()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    host.seal(name, send.recipient(), send.message());
                } else if (effect instanceof Effect.Persist persist) {
                    host.keep(name, persist.state(), persist.token(), token -> {
                        register.persisted(token);
                        act(now);
                    });
                } else if (effect instanceof Effect.EpochBegun begun) {
                    Log.info(
                            "experiment-epoch",
                            "name=" + name + " epoch="
                                    + begun.baseSlot().epoch().number() + " lost=" + begun.stateLost());
                } else if (effect instanceof Effect.Decided) {
                    read(true);
                }
            }
        }
    }

    /** What the register holds is what all hold. */
    private void read(boolean say) {
        byte[] value = register.value();
        if (value.length == 0) {
            state = null;
            teller = null;
            return;
        }
        try {
            State before = state;
            State now = State.fromBytes(value);
            if (!stopper.matchesDefinition(now)) {
                throw new UnreadableException("a state of another definition");
            }
            state = now;
            gathered.headMap(state.window(), true).clear();
            own.sealed(state.window());
            if (teller == null) {
                teller = new SessionCounter(
                        experiment,
                        peers.indexOf(me),
                        peers.size(),
                        state.firstWindow(),
                        windows.number(began),
                        windows.length(),
                        w -> state.share(w));
            }
            if (say) {
                TrialText.log(name, before, state, text());
            }
        } catch (UnreadableException e) {
            unreadable++;
            Log.warn("experiment-unreadable", "name=" + name + " " + e.getMessage());
        }
    }

    Verdict verdict() {
        return state == null ? Verdict.NONE : state.verdict();
    }

    /** One line for staff. */
    String text() {
        return TrialText.line(name, state, register, unreadable);
    }
}
