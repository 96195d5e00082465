/** Checks from the traffic on the emulated sockets whether balancers keep the rules. */
package calicochute.lab.referee;
