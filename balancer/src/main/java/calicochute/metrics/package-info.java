/** The process's counters, the statistics that operators read, and the log. */
package calicochute.metrics;
