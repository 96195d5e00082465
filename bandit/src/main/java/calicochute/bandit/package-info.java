/**
 * Turns what the fleet knows of each backend server into advice for one balancer's decision module, and decides which
 * balancer tries which unhealthy server. No I/O, no clock, no threads.
 *
 * <p>In the rules below k is the number of reporters (balancers that report outcomes of a server), and sigma the
 * standard deviation of one sample's log speed.
 *
 * <table>
 * <caption>Rules</caption>
 * <tr><th>subject</th><th>rule</th><th>guards against</th></tr>
 * <tr><td>speed</td><td>mean log speed of the rows by class, less the class's median over the fleet, weighted by exp(-age / 3 s); no further from the reporters'
 * median than 2 sigma / k</td><td>one faulty reporter among k</td></tr>
 * <tr><td>failures</td><td>the share of failures that a single reporter can account for, 3 / (3 + (k - 1) / 2), is ignored</td><td>a balancer that is partitioned
 * off</td></tr>
 * <tr><td>posterior</td><td>normal distribution of the log speed, with a fixed variance of one sample (0.25); the prior is the kind's median, worth 10 samples, and
 * less for a server that is far off it; Beta distribution of the success rate</td><td>thin traffic; a variance that a faulty reporter could raise</td></tr>
 * <tr><td>uncertainty</td><td>the variance between reporters, less their noise and less what one reporter off by a factor of 20 causes (9 / k), is added to the
 * variance of the posterior</td><td>network paths that differ: many samples that say little about the reader's own path</td></tr>
 * <tr><td>share</td><td>1 + temperature * (log speed + bias), so that the softmax gives shares proportional to the speeds; the bias moves by 0.3 of the log of wanted
 * by seen dispatches in each window</td><td>the server of the least latency taking all traffic</td></tr>
 * <tr><td>degradation</td><td>from half a log below the kind's level the speed itself counts, from 0.9 on it alone</td><td>a slow server taken for one of little
 * capacity</td></tr>
 * <tr><td>draw</td><td>one normal draw for each server and window, from the balancer's seed; its deviation is the posterior's, and 0.01 at least</td><td>all balancers
 * choosing the same server for the same reason</td></tr>
 * <tr><td>unhealthy</td><td>half of the dispatches failed, or a third of the kind's speed by three reporters, in the newest window</td><td>a delay until the average
 * follows</td></tr>
 * <tr><td>trials</td><td>an unhealthy server has one owner in each time slot, by rendezvous hashing of server and slot over the live balancers; a slot is 0.5 s, longer
 * (up to 4 s) where all trials would be over 2% of the fleet's dispatches, and half as long after a successful trial</td><td>trials that grow with the fleet; a permanent
 * owner; a failed owner</td></tr>
 * <tr><td>recovery</td><td>two successful trials in the newest window, or one and no failure; after a relapse two in up to five windows and no failure</td><td>a server
 * that alternates between healthy and unhealthy</td></tr>
 * <tr><td>restart</td><td>worth 2 samples, three quarters the kind's level and one quarter the estimate from before</td><td>out-of-date estimates</td></tr>
 * <tr><td>staleness</td><td>no advice if the newest row's window ended more than 6 s ago</td><td>decisions by out-of-date outcomes</td></tr>
 * </table>
 */
package calicochute.bandit;
