/**
 * A session as the frontend and the backend side share it: request, dispatches, response and the pipes that carry long
 * bodies between I/O threads.
 */
package calicochute.exchange;
