/**
 * Split experiments with sequential stopping. An {@link calicochute.experiment.Experiment} assigns units to a control
 * and a treatment ({@link calicochute.experiment.Assignment}). Each balancer counts its sessions per time window
 * ({@link calicochute.experiment.SessionCounter}) and sends the {@link calicochute.experiment.Counts} to the balancers
 * that seal windows. A sealed window is the aggregate of these counts ({@link calicochute.experiment.SealedWindow});
 * {@link calicochute.experiment.Stopper} derives the next {@link calicochute.experiment.State} and the
 * {@link calicochute.experiment.Verdict} from it, and {@link calicochute.experiment.seal} decides that state by
 * majority.
 */
package calicochute.experiment;
