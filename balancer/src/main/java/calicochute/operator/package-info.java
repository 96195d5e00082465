/** The operator's file (YAML), which names the fleet's balancers and the experiments that they run. */
package calicochute.operator;
