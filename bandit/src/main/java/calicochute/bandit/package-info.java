/**
 * What the fleet knows of each backend server, made into advice for one balancer's decision module; and who tries what.
 * No I/O, no clock, no threads.
 *
 * <table>
 * <caption>Rules</caption>
 * <tr><th>what</th><th>rule</th><th>against</th></tr>
 * <tr><td>speed</td><td>mean log speed of the rows by class, less the class's median over the fleet, aged by exp(-age / 3 s); no further from the witnesses'
 * median than 2 sigma / k</td><td>one bad witness of k</td></tr>
 * <tr><td>failures</td><td>the part of them that one witness alone can have made, 3 / (3 + (k - 1) / 2), is not believed</td><td>a balancer that is cut off</td></tr>
 * <tr><td>posterior</td><td>normal on the log speed, noise of one sample fixed (variance 0.25); prior: the kind's median, worth 10 samples, less for one that is far off
 * it; Beta on success</td><td>thin traffic; a noise that a bad witness can raise</td></tr>
 * <tr><td>floor</td><td>the variance between witnesses, less their noise and what one witness off by a factor of 20 makes (9 / k), is added to the
 * posterior's</td><td>paths that differ: many samples that say little of one's own path</td></tr>
 * <tr><td>share</td><td>1 + tau (log speed + bias): the softmax then gives shares as the speeds are; bias moves by 0.3 of the log of wanted by seen dispatches in
 * each window</td><td>the best latency takes all</td></tr>
 * <tr><td>trouble</td><td>from half a log below the kind the speed itself counts, from 0.9 on it alone</td><td>a slow server taken for a small one</td></tr>
 * <tr><td>draw</td><td>one normal draw for each server and window, by the balancer's seed; its width the posterior's, 0.01 at least</td><td>all on the same server for
 * the same reason</td></tr>
 * <tr><td>sick</td><td>half of the dispatches failed, or a third of the kind's speed by three witnesses, in the newest window</td><td>waiting for the average</td></tr>
 * <tr><td>tries</td><td>a sick server has one owner in each slot of time, by rendezvous hash of server and slot over the live; the slot is 0.5 s, longer (to 4 s)
 * where all tries would be over 2% of the fleet's dispatches, half after a good one</td><td>tries that grow with the fleet; an owner for good; a dead owner</td></tr>
 * <tr><td>return</td><td>two good tries in the newest window, or one and nothing bad; after a relapse two in up to three windows and nothing bad</td><td>a server that
 * comes and goes</td></tr>
 * <tr><td>restart</td><td>worth 2 samples, three quarters of its kind and one of what it was</td><td>old news</td></tr>
 * <tr><td>stale</td><td>newest row's window over for more than 6 s: no advice</td><td>deciding on a picture of the past</td></tr>
 * </table>
 */
package calicochute.bandit;
