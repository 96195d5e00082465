/** Accepting connections on a listening socket, and closing them without losing responses that are being sent. */
package calicochute.listening;
