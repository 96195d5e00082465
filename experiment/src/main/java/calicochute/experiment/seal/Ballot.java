package calicochute.experiment.seal;

/**
 * A Paxos ballot for one slot. It includes the proposer's incarnation, so that a proposer that restarts without its
 * state cannot reuse a ballot.
 *
 * @param round round number, from 1
 * @param proposerIndex index of the proposer in the sorted list of peers
 * @param incarnation start time of the proposer's process in microseconds
 */
record Ballot(int round, int proposerIndex, long incarnation) implements Comparable<Ballot> {
    /** Lower than any ballot of a proposer. */
    static final Ballot NONE = new Ballot(0, 0, 0);
    /** Serialized size in bytes. */
    static final int BYTES = 14;
    /** Largest round number. */
    static final int MAX_ROUNDS = 1 << 30;

    @Override
    public int compareTo(Ballot other) {
        int order = Integer.compare(round, other.round);
        if (order == 0) {
            order = Integer.compare(proposerIndex, other.proposerIndex);
        }
        return order != 0 ? order : Long.compare(incarnation, other.incarnation);
    }
}
