/**
 * What became of dispatches to the backend servers, counted by window and added up over the fleet of balancers.
 *
 * <p>Each balancer counts its own dispatches ({@link calicochute.outcomes.WindowCounter}) and reports every closed
 * window to the owners of the servers concerned ({@link calicochute.outcomes.Owners}). An owner adds up the reports of
 * all balancers and publishes one aggregate for each key and window; all balancers store these rows and read them as an
 * {@link calicochute.outcomes.OutcomeSnapshot}. {@link calicochute.outcomes.OutcomeSharing} ties these steps together.
 * No I/O, no clock, no threads.
 */
package calicochute.outcomes;
