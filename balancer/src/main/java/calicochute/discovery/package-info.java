/** Client of the discovery service, which reports the backend servers and their addresses. */
package calicochute.discovery;
