package calicochute.experiment.seal;

/**
 * A round of voting on one slot. Holds the start of the proposer's process: a proposer that forgot its ballots cannot
 * use one twice.
 *
 * @param round counts up from 1
 * @param index of the proposer in the sorted list of peers
 * @param life when the proposer's process began (microseconds)
 */
record Ballot(int round, int proposerIndex, long incarnation) implements Comparable<Ballot> {
    static final Ballot NONE = new Ballot(0, 0, 0);
    static final int BYTES = 14;
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
