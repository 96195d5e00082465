/**
 * How evenly the dispatches of a run are distributed over the servers of a tier, compared with a simulated random
 * choice weighted by capacity. Computed from records of dispatches, without I/O.
 */
package calicochute.lab.evenness;
