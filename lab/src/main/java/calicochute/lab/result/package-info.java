/** The result of a run: its figures and time series, computed from the outcome and stored in the folder of the run. */
package calicochute.lab.result;
