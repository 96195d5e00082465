/** Network between balancer processes with faults that can be injected: a UDP proxy and the model of its links. */
package calicochute.lab.network;
