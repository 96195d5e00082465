/** Execution of dispatches: connections to the backend servers, calls on them and their outcomes. */
package calicochute.backend;
