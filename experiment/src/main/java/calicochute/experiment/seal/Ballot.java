package calicochute.experiment.seal;

/**
 * A round of voting on one slot. Holds the start of the proposer's process: a proposer that forgot its ballots cannot
 * use one twice.
 *
 * @param round counts up from 1
 * @param index of the proposer in the sorted list of peers
 * @param life when the proposer's process began (microseconds)
 */
record Ballot(int round, int index, long life) implements Comparable<Ballot> {
    static final Ballot NONE = new Ballot(0, 0, 0);
    static final int BYTES = 14;
    static final int MOST_ROUNDS = 1 << 30;

    @Override
    public int compareTo(Ballot other) {
        int by = Integer.compare(round, other.round);
        if (by == 0) {
            by = Integer.compare(index, other.index);
        }
        return by != 0 ? by : Long.compare(life, other.life);
    }
}
