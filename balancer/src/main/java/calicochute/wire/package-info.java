/**
 * The adapter between the decision module and the simulator: reads batches of events as text lines and writes the
 * module's actions as reply lines. The words and keys are the simulator's.
 */
package calicochute.wire;
