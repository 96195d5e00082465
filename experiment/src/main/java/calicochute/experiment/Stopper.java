package calicochute.experiment;

import calicochute.experiment.Verdict.Note;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The stopping rule of an experiment: derives the next state and the verdict from the sequence of sealed windows. It is
 * a pure function, equal at every balancer, and its verdicts are valid at any window.
 *
 * <p>A fifth of the error rate goes to the guards, if there are any, and half of the rest to a verdict for either arm.
 * NO_DIFFERENCE reuses the error rate of one arm: it is false only if the true effect is at least `least` in one
 * direction, and then the verdict for the better arm is not false and its error rate is not needed. Notes only withhold
 * verdicts and can only make false ones rarer.
 */
public final class Stopper {
    /** Share of the error rate that goes to the guards. */
    private static final double GUARD_ERROR_SHARE = 0.2;
    /** Share of the required log evidence that must remain without any single group of balancers. */
    static final double LEAVE_ONE_OUT_SHARE = 0.5;

    private final Experiment experiment;
    private final int leadWindows;
    /** Number of windows after which the experiment ends undecided. */
    private final long maxWindows;
    /** Number of windows for which a rollout step is held. */
    private final long stepWindows;

    private final List<String> lanes;
    /** Log evidence required for a verdict for one arm. */
    private final double armLogThreshold;
    /** Log evidence required for the verdict HARM by one guard. */
    private final double guardLogThreshold;

    private final int definition;
    private final EvidenceUpdater evidenceUpdater;

    /**
     * Creates the stopping rule of an experiment.
     *
     * @param windowMicros length of a window in microseconds
     * @param leadWindows number of windows from the newest sealed one to the first with a changed share; must exceed
     *     the time that sealing takes, so that all balancers know the change in time
     */
    public Stopper(Experiment experiment, long windowMicros, int leadWindows) {
        this.experiment = experiment;
        this.leadWindows = leadWindows;
        maxWindows = Math.max(1, experiment.longest().toMillis() * 1000 / windowMicros);
        stepWindows = Math.max(1, experiment.after().each().toMillis() * 1000 / windowMicros);
        lanes = experiment.sortedLanes();
        armLogThreshold = -StrictMath.log(armErrorRate(experiment));
        guardLogThreshold = -StrictMath.log(experiment.error()
                * GUARD_ERROR_SHARE
                / Math.max(1, experiment.guards().size()));
        definition = definitionHash(experiment);
        evidenceUpdater = new EvidenceUpdater(experiment, lanes);
    }

    /** Error rate of a verdict for one arm. */
    static double armErrorRate(Experiment experiment) {
        return experiment.error() * (experiment.guards().isEmpty() ? 1 : 1 - GUARD_ERROR_SHARE) / 2;
    }

    /** Hashes all fields that the evidence depends on; the share and the rollout may change during the experiment. */
    private static int definitionHash(Experiment experiment) {
        String text = String.join(
                "\n",
                experiment.name(),
                experiment.salt(),
                "" + experiment.unit(),
                "" + experiment.control(),
                "" + experiment.treatment(),
                "" + experiment.sortedLanes(),
                "" + new TreeSet<>(experiment.tenants()),
                "" + experiment.measure(),
                "" + experiment.least(),
                "" + experiment.error(),
                "" + experiment.guards(),
                "" + experiment.longest());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
    }

    /** Hash of all fields of the experiment that the evidence depends on. */
    public int definition() {
        return definition;
    }

    /**
     * Returns the state before the first window.
     *
     * @param firstWindow the first window whose sessions count
     */
    public State initialState(long firstWindow) {
        State state = new State(
                definition, firstWindow, lanes.size(), experiment.guards().size());
        state.share = experiment.share();
        state.nextShare = experiment.share();
        EvidenceUpdater.initializePredictors(state);
        return state;
    }

    /** Whether a state belongs to this definition of the experiment. */
    public boolean matchesDefinition(State state) {
        return state.definition == definition
                && state.lanePredictors.length == lanes.size() * State.PREDICTOR_FLOATS
                && state.guardPredictors.length == experiment.guards().size() * State.PREDICTOR_FLOATS;
    }

    /**
     * Changes the share of the treatment from a window that no balancer has begun.
     *
     * @throws IllegalArgumentException if the share is out of range, the window is already sealed, or an earlier change
     *     is not sealed yet
     */
    public State changeShare(State state, double share, long fromWindow) {
        boolean pending = state.nextShareWindow != Long.MAX_VALUE && state.nextShareWindow > state.window + 1;
        if (!ExperimentValidator.isShareInRange(share) || fromWindow <= state.window || pending) {
            throw new IllegalArgumentException("invalid change to share " + share + " from window " + fromWindow
                    + (pending ? " before the previous change is sealed" : ""));
        }
        State next = state.copy();
        if (state.verdict == Verdict.NONE) {
            scheduleShare(next, share, fromWindow);
        }
        return next;
    }

    /** Sets the share from a window on; earlier windows keep theirs. */
    private static void scheduleShare(State state, double share, long fromWindow) {
        state.share = state.share(fromWindow - 1);
        state.nextShare = share;
        state.nextShareWindow = fromWindow;
    }

    /** Returns the state after one more sealed window; a window that the state already includes changes nothing. */
    public State advance(State state, SealedWindow sealed) {
        if (!matchesDefinition(state)) {
            throw new IllegalArgumentException("the state belongs to another definition of the experiment");
        }
        if (sealed.window <= state.window) {
            return state;
        }
        State next = state.copy();
        double p = state.share(sealed.window);
        next.window = sealed.window;
        next.leftOut += sealed.leftOut();
        boolean mixed = p > 0 && p < 1;
        if (state.verdict == Verdict.NONE) {
            if (mixed) {
                evidenceUpdater.updateGuards(next, sealed, p);
                evidenceUpdater.updateEffect(next, sealed, p);
            }
            decide(next);
        } else if (state.verdict == Verdict.TREATMENT
                && !experiment.after().steps().isEmpty()) {
            if (mixed) {
                evidenceUpdater.updateGuards(next, sealed, p);
            }
            advanceRollout(next);
        }
        return next;
    }

    /** Sets the verdict if the evidence allows one. */
    private void decide(State state) {
        for (int i = 0; i < experiment.guards().size(); i++) {
            if (HarmEvidence.logEvidence(state.harmLogWealth, i) >= guardLogThreshold) {
                state.trippedGuard = i;
                conclude(state, Verdict.HARM);
                return;
            }
        }
        NoteRules.beforeVerdict(state);
        if (state.notes.contains(Note.SPLIT)) {
            conclude(state, Verdict.UNDECIDED);
            return;
        }
        boolean treatment = isRejected(state, 0);
        boolean control = isRejected(state, 1);
        boolean noDifference = isRejected(state, 2) & isRejected(state, 3);
        if (!state.notes.contains(Note.STARVED) && treatment != control) {
            conclude(state, treatment ? Verdict.TREATMENT : Verdict.CONTROL);
        } else if (!state.notes.contains(Note.STARVED) && noDifference) {
            conclude(state, Verdict.NO_DIFFERENCE);
        } else if (state.window - state.firstWindow + 1 >= maxWindows) {
            conclude(state, Verdict.UNDECIDED);
        }
    }

    /** Whether the evidence rejects a hypothesis, both in total and without any single group of balancers. */
    private boolean isRejected(State state, int hypothesis) {
        if (EffectEvidence.logEvidence(state.effectLogWealth, hypothesis, -1) < armLogThreshold) {
            return false;
        }
        if (!state.notes.contains(Note.FEW_WITNESSES)) {
            for (int g = 0; g < SealedWindow.GROUPS; g++) {
                if (EffectEvidence.logEvidence(state.effectLogWealth, hypothesis, g)
                        < LEAVE_ONE_OUT_SHARE * armLogThreshold) {
                    state.notes.add(Note.CARRIED_BY_FEW);
                    return false;
                }
            }
        }
        return true;
    }

    /** Sets the verdict and schedules the share that follows from it. */
    private void conclude(State state, Verdict verdict) {
        state.verdict = verdict;
        state.verdictWindow = state.window;
        NoteRules.onVerdict(state);
        if (!experiment.after().steps().isEmpty()) {
            if (verdict == Verdict.TREATMENT) {
                scheduleShare(state, experiment.after().steps().get(state.rolloutStep++), state.window + leadWindows);
            } else if (verdict == Verdict.CONTROL) {
                scheduleShare(state, 0, state.window + leadWindows);
            }
        }
    }

    /** Evaluates the guards after a verdict for the treatment, and schedules the next share once the step was held. */
    private void advanceRollout(State state) {
        for (int i = 0; i < experiment.guards().size(); i++) {
            if (HarmEvidence.logEvidence(state.harmLogWealth, i) >= guardLogThreshold) {
                state.trippedGuard = i;
                state.notes.add(Note.TURNED_BACK);
            }
        }
        if (!state.notes.contains(Note.TURNED_BACK)
                && state.rolloutStep < experiment.after().steps().size()
                && state.window >= state.nextShareWindow + stepWindows) {
            scheduleShare(state, experiment.after().steps().get(state.rolloutStep++), state.window + leadWindows);
        }
    }
}
