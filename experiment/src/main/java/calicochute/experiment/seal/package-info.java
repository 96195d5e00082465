/**
 * Agreement on the sealed windows of an experiment: a {@link calicochute.experiment.seal.Register} is a sequence of
 * values that a majority of the configured peers decides.
 *
 * <p><b>Guarantees.</b> (1) No two peers ever learn different values of the same slot of the same epoch, whatever
 * messages are lost, duplicated or delayed, whatever peers are partitioned, paused or restarted, with or without their
 * state, and whatever their clocks show. (2) Less than a majority of the configured peers decides nothing. (3) A new
 * epoch begins only when so many peers abstain at the same time that the voters are no majority. Guarantee (3) depends
 * on clocks that run at about the same speed over three seconds. The host must ensure that a process of a peer has
 * ended before the next one starts, and that their start times differ. The start time identifies the process and is
 * called its incarnation.
 *
 * <p><b>Voting.</b> Each slot is decided by single-decree Paxos. Only peers that know the value of the previous slot
 * propose and vote on a slot. A vote on slot n therefore implies that n - 1 is decided, and a majority that votes on n
 * stores the value of n - 1. A voter stores one vote, for the slot after the newest decided one that it knows. Ballots
 * include the proposer's incarnation, so that a restarted proposer cannot reuse a ballot and proposers need no
 * persistent state. With a state folder, a message leaves only after the state that it depends on is persisted; a peer
 * that restarts with this state is equivalent to a slow one.
 *
 * <p><b>Peers without state abstain.</b> Let N be the number of configured peers, Q a majority of them, and R = N - Q +
 * 1 the read quorum, so that any R peers intersect any Q. The high-water mark (mark) of a voter is the highest slot in
 * which it accepted a value or that it knows to be decided; it never decreases within an incarnation. A peer that
 * starts without state asks all peers. Of the first R <em>voters</em> (of the newest epoch seen) that reply to this
 * incarnation it takes the highest mark M. It votes again only once it has learned a decided slot of at least M + 1,
 * and then on later slots. Until then it does not reply as a voter either.
 *
 * <p><b>Proof.</b> Lemma: if slot j is decided, then of any R voters that reply later one has a mark of at least j. The
 * proof is by induction over j. R and the majority that accepted j have a common peer Y. If Y has kept its state since,
 * its mark is at least j. If not, Y became a voter again after a request that it sent after it had accepted j, and so
 * after j - 1 was decided. By the lemma for j - 1 its M was at least j - 1, and it votes only since it knows that slot
 * M + 1, which is at least j, is decided. Theorem: no peer votes on one slot in two incarnations. If it voted on k in
 * an earlier incarnation, k - 1 was decided before its request, so that M is at least k - 1 and it votes only on slots
 * after M + 1, that is after k. For each slot, peers without state are therefore equivalent to peers that have crashed
 * permanently, and the proof of Paxos applies.
 *
 * <p><b>Rolling restarts.</b> If a tenth of the peers restarts at a time, the others are more than R and continue. The
 * restarted peers complete their read in one round trip and vote after two slots. Peers that wait do not reply as
 * voters, because a reply with their lower bound instead of a real mark would raise the bound by one with each restart.
 * A rule based on clocks ("slots begun after my start") would break agreement if a clock were off by seconds; this rule
 * does not depend on clocks.
 *
 * <p><b>Loss of state at too many peers.</b> If all peers restart at once, or two of three within two slots, fewer than
 * a majority vote, a read quorum of voters never exists, and the epoch cannot decide anything again. Then one peer, in
 * order of rank, forms a new epoch. It asks all peers that it hears from, each identified by its incarnation, to
 * commit. A peer that commits stays out of the old epoch for three seconds. If Q commits arrive within one second, R of
 * them from peers that abstain, there was a moment at which no majority could vote. The epoch then begins, after the
 * newest decided slot that any of them knows (slot 0 if none knows any), and is reported as
 * {@link calicochute.experiment.seal.Effect.EpochBegun}. Slots are ordered by epoch first, so that values of the old
 * epoch never mix with it. A peer votes from the start of an epoch only in the incarnation that was asked; that
 * incarnation began before the epoch did, so that no earlier one can have voted in it. All other peers join by the rule
 * for peers without state. The base slot counts as decided, because every voter of the epoch knows it or a later slot.
 *
 * <p><b>Cost.</b> With N peers, a slot costs the proposer 2 N small messages, N messages with the value, and 2 N small
 * replies. The decision is announced with the ballot, so that peers that accepted the value know it; the others request
 * it. Each second a peer announces its newest decided slot to two others, so that a peer that missed a decision catches
 * up.
 *
 * <p>All times in this package are in microseconds.
 */
package calicochute.experiment.seal;
