/**
 * Cluster membership by probes and suspicion (SWIM), and replication of small entries between balancers by datagrams
 * and digests. Nothing here does I/O; all of it runs on one thread.
 */
package calicochute.gossip;
