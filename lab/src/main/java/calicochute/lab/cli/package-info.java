/** The command line of the lab. */
package calicochute.lab.cli;
