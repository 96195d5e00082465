/** The command line of the balancer and its sub-commands. */
package calicochute.cli;
