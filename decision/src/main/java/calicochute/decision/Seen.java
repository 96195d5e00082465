package calicochute.decision;

/** What an instance has seen of one class. */
final class Seen {
    /** Typical answer time. */
    double latency;
    /** Lowest typical answer time of late: what it takes without queues. */
    double base;

    int answers;
    /** The commonest time left at arrival, and by how many arrivals it leads. */
    long patience;

    int votes;
}
