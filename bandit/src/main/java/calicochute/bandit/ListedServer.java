package calicochute.bandit;

/**
 * A backend server as discovery lists it.
 *
 * @param id the server's id
 * @param startedAt when it started (microseconds); a different value means that the server was restarted
 * @param kind the operator's name for servers that are alike; "" where none is given
 * @param zone the server's zone
 * @param weight the server's weight in the list
 * @param ready whether new dispatches may go there
 */
public record ListedServer(String id, long startedAt, String kind, String zone, double weight, boolean ready) {}
