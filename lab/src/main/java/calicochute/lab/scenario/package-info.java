/**
 * Scenario files: the records that a YAML file is bound to, the reader and the validator, which reports every problem
 * with its line and field.
 */
package calicochute.lab.scenario;
