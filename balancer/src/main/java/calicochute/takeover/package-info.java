/**
 * What the processes of one balancer share during an upgrade: the inherited listening socket, the list of servers, the
 * learnt state, and locks that show which processes are alive.
 */
package calicochute.takeover;
