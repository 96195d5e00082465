/**
 * What is drawn before a run from its seed: machines and balancers, arrivals of requests, and whom each trouble hits.
 */
package calicochute.lab.plan;
