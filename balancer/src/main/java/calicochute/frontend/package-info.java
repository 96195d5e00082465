/**
 * The client side: an HTTP/1.1 server that turns requests into sessions and protects itself against slow, abusive and
 * disconnected clients.
 */
package calicochute.frontend;
