package calicochute.bandit;

/**
 * A backend server as discovery lists it.
 *
 * @param startedAt microseconds; another one is another start of the same server
 * @param kind what the operator calls servers that are alike; "" where it says nothing
 * @param ready whether new dispatches may go there
 */
public record Listed(String id, long startedAt, String kind, String zone, double weight, boolean ready) {}
