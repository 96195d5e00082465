/**
 * What is drawn before a run from its seed: machines and balancers, arrivals of requests, and the targets of each
 * trouble.
 */
package calicochute.lab.plan;
