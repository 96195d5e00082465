/** The lab's TCP sockets and its HTTP/1.1 parser, which exchange messages with the event loop. */
package calicochute.lab.socket;
