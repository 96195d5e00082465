/** Runs of scenarios, and statistics over several runs: spread of replays and paired differences of variants. */
package calicochute.lab.experiment;
