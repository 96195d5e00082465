/** Model of a backend server's machine: capacity, queueing, cold starts and overload, without sockets. */
package calicochute.lab.server;
