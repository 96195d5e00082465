/**
 * Which window counts, decided once: a {@link calicochute.experiment.seal.Register} is a sequence of values, one of
 * them at each configured peer.
 *
 * <p><b>What holds.</b> (1) No two peers ever learn different values of the same slot of the same epoch, whatever is
 * lost, repeated, late, cut, stopped or restarted, with or without memory, and whatever the clocks say. (2) Less than a
 * majority of the configured peers decides nothing. (3) A new epoch is begun only when so many peers have no vote at
 * the same time that the others are no majority; this one rests on clocks that run at about the same speed over three
 * seconds. One thing is asked of the host: of two processes of a peer the first has ended before the second starts, and
 * their starts differ.
 *
 * <p><b>Voting.</b> Single-decree Paxos for each slot. A slot is proposed and voted on only by peers that know the
 * value of the one before: a vote on slot n says that n - 1 is decided, and a majority that votes on n keeps the value
 * of n - 1. A voter keeps one vote, that on the slot after the newest it knows. Ballots hold the start of the
 * proposer's process: one that forgot cannot use a ballot twice, so proposers keep nothing. With a state folder a
 * message leaves only after the memory it rests on was kept; such a peer is as one that was slow.
 *
 * <p><b>Who has no memory abstains.</b> Let N peers be configured, Q more than half of them, and R = N - Q + 1, so that
 * any R share a peer with any Q. The mark of a voter is the highest slot it accepted in or knows decided; it never
 * falls in one life. A peer that starts without memory asks all; of the first R <em>voters</em> (of the newest epoch
 * seen) that answer this life it takes the highest mark M, and votes again only once it has learned a decided slot of
 * at least M + 1, and then on later ones. Until then it does not answer as a voter either.
 *
 * <p><b>Why that is enough.</b> Lemma: if slot j is decided, then of any R voters answering later one has a mark of at
 * least j. By induction over j: R and the majority that accepted j share a peer Y. Has Y kept its memory since, its
 * mark is at least j. If not, it became a voter again by asking after it had accepted j, so after j - 1 was decided: by
 * the lemma for j - 1 its M was at least j - 1, and it votes only since it knows slot M + 1 of at least j decided.
 * Theorem: no peer votes on one slot in two lives. If it voted on k in an earlier life, k - 1 was decided before it
 * asked, so M is at least k - 1 and it votes only on slots after M + 1, that is after k. So on each slot peers without
 * memory are as peers that crashed for good, and Paxos' own proof holds.
 *
 * <p><b>Restarts in turn.</b> A tenth of the fleet at a time: the others are more than R and go on; the tenth reads in
 * one round trip and votes after two slots. An answer by floors instead of real marks would push the floor up by one
 * for each restart; that is why peers that wait do not count as voters. A rule by clocks ("slots born after my start")
 * was left out: a clock off by seconds would break agreement, here it cannot.
 *
 * <p><b>When too many forgot</b> (the whole fleet restarted at once; two of three within two slots) fewer than a
 * majority vote, R are never found, and nothing can be decided in this epoch again. Then one by turn begins a new
 * epoch: it asks all it heard, each by the start of its process, to commit; who commits stays out of the old epoch for
 * three seconds. With Q commits within one second, R of them from peers without a vote, there was a moment at which no
 * majority could vote: the epoch is begun, from the newest place any of them knows (from nothing where none does), and
 * said as {@link calicochute.experiment.seal.Effect.Begun}. Places are ordered by epoch first: values of the old one
 * never mix with it. A peer votes from the beginning of an epoch only in the life that was asked, and that life began
 * before the epoch did: no earlier life can have voted in it. All others come in by the rule above; the base counts as
 * decided, since every voter of the epoch knows it or a later slot.
 *
 * <p><b>Cost.</b> Two phases: of N peers a slot costs the proposer 2 N small messages, N with the value, and 2 N small
 * answers. The second phase's answer makes the value known where it was accepted; the others ask for it. Each second a
 * peer tells two others its place, so that one that missed it catches up.
 */
package calicochute.experiment.seal;
