/** The discovery service's data: its versioned list of instances and its call queue, without sockets. */
package calicochute.lab.discovery;
