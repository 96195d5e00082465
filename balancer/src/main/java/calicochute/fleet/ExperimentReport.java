package calicochute.fleet;

import calicochute.experiment.Arm;
import calicochute.experiment.State;
import calicochute.experiment.seal.Register;
import calicochute.metrics.Log;

/** The line about an experiment in the operators' report, and the log line for each sealed window. */
final class ExperimentReport {
    private ExperimentReport() {}

    /** @param state state of the experiment; null if it has not started */
    static String line(String name, State state, Register register, long unreadable) {
        if (state == null) {
            return "name=" + name + " verdict=NONE window=none votes=" + register.canVote();
        }
        return "name=" + name + " verdict=" + state.verdict() + " window=" + state.window() + " share="
                + state.share(state.window() + 1)
                + String.format(" effect=%.4f spread=%.4f", state.effect(), state.standardError())
                + " sessions=" + (long) state.sessions(Arm.CONTROL) + "/" + (long) state.sessions(Arm.TREATMENT)
                + String.format(
                        " crossed=%.4f/%.4f cut=%.4f",
                        state.crossoverShare(Arm.CONTROL), state.crossoverShare(Arm.TREATMENT), state.cutShare())
                + " notes=" + state.notes() + " slot=" + register.slotNumber() + " votes=" + register.canVote()
                + " left_out="
                + state.leftOut()
                + " unreadable=" + unreadable;
    }

    /** Logs what has changed with a sealed window; {@code before} is null if the experiment starts with it. */
    static void log(String name, State before, State state, String line) {
        if (before == null) {
            Log.info(
                    "experiment-begins",
                    "name=" + name + " window=" + state.window() + " share=" + state.share(state.window() + 1));
        } else if (before.verdict() != state.verdict()) {
            Log.info("experiment-verdict", line);
        } else if (before.share(Long.MAX_VALUE - 1) != state.share(Long.MAX_VALUE - 1)) {
            Log.info("experiment-step", line);
        } else {
            Log.info("experiment-look", line);
        }
    }
}
