/** A minimal HTTP relay, the baseline for measuring a balancer's overhead. */
package calicochute.lab.relay;
