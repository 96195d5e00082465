package calicochute.experiment;

import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.SealedWindow.Total;
import java.util.List;

/**
 * Adds a sealed window to a state: first the evidence and the sums, then the predictors that the tests use for the next
 * window. Predictors depend on earlier windows only, as the tests require.
 */
final class EvidenceUpdater {
    /** Largest weight of a predictor, in sessions; older sessions are discounted so that it follows the load. */
    private static final float MAX_PREDICTOR_SESSIONS = 1000;

    private final Experiment experiment;
    private final List<String> lanes;
    private final double least;

    EvidenceUpdater(Experiment experiment, List<String> lanes) {
        this.experiment = experiment;
        this.lanes = lanes;
        least = experiment.least();
    }

    /**
     * Sets the predictors to their values before the first window: a mean of 0.5 with the weight of 2 sessions, a
     * failure rate of 0.02 with the weight of 10, and a variance of 0.1 with the weight of 20.
     */
    static void initializePredictors(State state) {
        for (int i = 0; i < state.lanePredictors.length; i += 2) {
            state.lanePredictors[i] = 0.5f;
            state.lanePredictors[i + 1] = 2;
        }
        for (int i = 0; i < state.guardPredictors.length; i += 2) {
            state.guardPredictors[i] = 0.02f;
            state.guardPredictors[i + 1] = 10;
        }
        state.varianceSums[0] = 2;
        state.varianceSums[1] = 20;
    }

    /**
     * Adds a window to the evidence of harm.
     *
     * @param p share of the treatment in the window
     */
    void updateGuards(State state, SealedWindow sealed, double p) {
        for (int i = 0; i < experiment.guards().size(); i++) {
            Guard guard = experiment.guards().get(i);
            int lane = lanes.indexOf(guard.lane());
            if (lane >= 0) {
                Total treatment = sealed.total(lane, Arm.TREATMENT);
                Total control = sealed.total(lane, Arm.CONTROL);
                int index = i * State.PREDICTOR_FLOATS;
                HarmEvidence.add(
                        state.harmLogWealth,
                        i,
                        treatment,
                        control,
                        p,
                        state.guardPredictors[index],
                        state.guardPredictors[index + 2],
                        guard.worse());
                updatePredictor(state.guardPredictors, index, treatment.failures, treatment.count);
                updatePredictor(state.guardPredictors, index + 2, control.failures, control.count);
            }
        }
    }

    /**
     * Adds a window to the evidence on the effect and to the sums. The symbols are those of {@link EffectEvidence}.
     *
     * @param p share of the treatment in the window
     */
    void updateEffect(State state, SealedWindow sealed, double p) {
        double h = p * (1 - p);
        double variance = state.varianceSums[0] / state.varianceSums[1];
        for (int lane = 0; lane < lanes.size(); lane++) {
            int index = lane * State.PREDICTOR_FLOATS;
            double bT = state.lanePredictors[index];
            double bC = state.lanePredictors[index + 2];
            EffectEvidence.add(state.effectLogWealth, sealed, lane, p, bT, bC, variance, least);
            for (int g = 0; g < SealedWindow.GROUPS; g++) {
                Total treatment = sealed.totals[g][lane][1];
                Total control = sealed.totals[g][lane][0];
                double squares = EffectEvidence.squaredResiduals(treatment, control, p, bT, bC);
                state.groupSums[g * 3] += (float) (h * (treatment.count + control.count) * (bT - bC)
                        + (1 - p) * (treatment.sum - treatment.count * bT)
                        - p * (control.sum - control.count * bC));
                state.groupSums[g * 3 + 1] += (float) (h * (treatment.count + control.count));
                state.groupSums[g * 3 + 2] += (float) squares;
                state.varianceSums[0] += (float) (squares / h);
                state.varianceSums[1] += (float) (treatment.count + control.count);
            }
            Total treatment = sealed.total(lane, Arm.TREATMENT);
            Total control = sealed.total(lane, Arm.CONTROL);
            updatePredictor(state.lanePredictors, index, treatment.sum, treatment.count);
            updatePredictor(state.lanePredictors, index + 2, control.sum, control.count);
        }
        halveAbove(state.varianceSums, 1e6f);
        double controlSessions = sealed.sessions(Arm.CONTROL);
        double treatmentSessions = sealed.sessions(Arm.TREATMENT);
        double[] increments = {
            treatmentSessions - p * (controlSessions + treatmentSessions),
            controlSessions + treatmentSessions,
            controlSessions,
            treatmentSessions,
            sealed.crossovers[0],
            sealed.crossovers[1],
            sealed.worthRequested,
            sealed.worthAboveCap
        };
        for (int i = 0; i < increments.length; i++) {
            state.totals[i] += increments[i];
        }
        for (int i = 0; i < state.serverBuckets.length; i++) {
            state.serverBuckets[i] += (float) sealed.serverBuckets[i];
        }
        halveAbove(state.serverBuckets, 1e6f);
    }

    /**
     * Halves all sums once one exceeds the limit: a float above 2^24 cannot represent an increment of 1. Only ratios of
     * the sums are used.
     */
    private static void halveAbove(float[] sums, float limit) {
        for (float sum : sums) {
            if (sum > limit) {
                for (int i = 0; i < sums.length; i++) {
                    sums[i] /= 2;
                }
                return;
            }
        }
    }

    /** Updates a running mean and its weight, at {@code index} and the position after it. */
    private static void updatePredictor(float[] predictors, int index, double sum, double count) {
        if (count > 0) {
            double weight = Math.min(predictors[index + 1], MAX_PREDICTOR_SESSIONS);
            predictors[index] = (float) Math.max(0, Math.min(1, (predictors[index] * weight + sum) / (weight + count)));
            predictors[index + 1] = (float) (weight + count);
        }
    }
}
