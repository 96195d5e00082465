package calicochute.decision;

/** Statistics of one request class. Times are microseconds. */
final class ClassStats {
    /** Typical latency. */
    double latency;
    /** Lowest recent typical latency, an estimate of the latency without queueing. */
    double baseLatency;
    /** Answers in the typical latency, up to the length of its window. */
    int answers;
    /** Most common time left at arrival. */
    long usualTimeLeft;
    /** Arrivals by which the most common time left leads. */
    int usualTimeLeftVotes;
}
