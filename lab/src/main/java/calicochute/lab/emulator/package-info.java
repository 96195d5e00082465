/**
 * Runs a scenario: emulates clients, backend servers and discovery on sockets, runs the balancers as processes, injects
 * the scenario's troubles, and records what happens.
 */
package calicochute.lab.emulator;
