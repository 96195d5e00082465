/** One balancer process: it connects clients, backend servers, discovery and operators to the decision module. */
package calicochute.node;
