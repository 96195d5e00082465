/** HTML reports of runs and sweeps, with charts as SVG. */
package calicochute.lab.report;
