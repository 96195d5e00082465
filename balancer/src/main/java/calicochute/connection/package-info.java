/** HTTP/1.1 client connections to backend servers and the calls made on them. */
package calicochute.connection;
