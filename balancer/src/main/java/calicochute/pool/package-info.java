/** The pool of idle connections to one backend server. */
package calicochute.pool;
