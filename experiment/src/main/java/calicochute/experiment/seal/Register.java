package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.DecidedNotice;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * One peer of a replicated register, a sequence of values each of which is decided by a majority of the configured
 * peers. A value supersedes all earlier ones, so that a peer needs only the newest and may skip others. The class does
 * no I/O and is not thread-safe; times are in microseconds. After each call the host performs {@link #effects}. The
 * package documentation states the guarantees and their proof.
 */
public final class Register {
    /** Largest size of a value in bytes. */
    public static final int MAX_VALUE_BYTES = Codec.MAX_VALUE_BYTES;
    /** Largest number of peers. */
    public static final int MAX_PEERS = 400;
    /** Number of peers to which the newest decided slot is announced per interval. */
    private static final int ANNOUNCEMENT_FANOUT = 2;

    private final Codec codec;
    private final List<String> peers;
    private final int selfIndex;
    private final long incarnation;
    private final Timing timing;
    private final Outbox outbox;
    private final Acceptor acceptor;
    private final Map<RejectReason, Long> rejections = new EnumMap<>(RejectReason.class);
    private long now;
    private long nextAnnouncementAt;
    private int announcements;

    /**
     * Creates a peer of a register.
     *
     * @param name name of the experiment
     * @param definition hash of the experiment's definition; a changed definition is another register
     * @param configuredPeers ids of all peers; must be equal at all of them
     * @param self id of this peer
     * @param incarnation start time of this process in microseconds; two processes of a peer must have different start
     *     times, and the earlier one must have ended
     * @param persistent whether the host persists the state
     * @param state the state last persisted, null if there is none; an unreadable one is counted as rejected and
     *     ignored
     */
    public Register(
            String name,
            long definition,
            List<String> configuredPeers,
            String self,
            long incarnation,
            boolean persistent,
            byte[] state,
            Timing timing) {
        SortedSet<String> sorted = new TreeSet<>(configuredPeers);
        if (sorted.isEmpty() || sorted.size() > MAX_PEERS || sorted.size() != configuredPeers.size()) {
            throw new IllegalArgumentException("the list of peers must have 1 to 400 distinct ids");
        }
        this.peers = List.copyOf(sorted);
        this.selfIndex = peers.indexOf(self);
        if (this.selfIndex < 0) {
            throw new IllegalArgumentException("this peer is not in the list of peers: " + self);
        }
        if (incarnation <= 0) {
            throw new IllegalArgumentException("the start time must be positive: " + incarnation);
        }
        this.incarnation = incarnation;
        this.now = incarnation;
        this.timing = timing;
        this.codec = new Codec(name, definition, peers);
        this.outbox = new Outbox(codec, peers, this.selfIndex, persistent);
        this.acceptor = new Acceptor(restore(state), outbox, timing, peers.size(), this.selfIndex, incarnation);
    }

    private AcceptorState restore(byte[] state) {
        if (state == null) {
            return AcceptorState.INITIAL;
        }
        try {
            return codec.readState(state);
        } catch (MalformedException e) {
            countRejection(e.reason);
            return AcceptorState.INITIAL;
        }
    }

    /**
     * Proposes a value for the slot after {@code after}. A repeated call replaces the value.
     *
     * @return false if {@code after} is not the newest decided slot known, or the value is too long
     */
    public boolean propose(long time, SlotId after, byte[] next) {
        now = time;
        if (!after.equals(acceptor.state().decidedSlot())
                || after.equals(SlotId.NONE)
                || next.length > MAX_VALUE_BYTES) {
            return false;
        }
        acceptor.propose(time, next);
        return true;
    }

    /** Sets this peer's rank among the live peers: 0 proposes at once, each higher rank later if nothing is decided. */
    public void setRank(int rank) {
        acceptor.setRank(rank);
    }

    /** Advances the timers; to be called every 50 to 250 ms. */
    public void tick(long time) {
        now = time;
        acceptor.tick(time);
        if (time < nextAnnouncementAt) {
            return;
        }
        nextAnnouncementAt = time + timing.announceMicros();
        for (int i = 0; i < ANNOUNCEMENT_FANOUT && peers.size() > 1; i++) {
            int other = Math.floorMod(
                    selfIndex
                            + 1
                            + Math.floorMod(
                                    MurmurHash3.hash32(incarnation + selfIndex, announcements++), peers.size() - 1),
                    peers.size());
            outbox.send(other, new DecidedNotice(acceptor.state().decidedSlot(), Ballot.NONE));
        }
    }

    /** Handles a message from a peer. Invalid messages are counted and ignored. */
    public void received(long time, String sender, byte[] message) {
        now = time;
        int senderIndex = peers.indexOf(sender);
        if (senderIndex < 0) {
            countRejection(RejectReason.UNKNOWN_SENDER);
            return;
        }
        try {
            acceptor.handle(time, senderIndex, codec.read(message));
        } catch (MalformedException e) {
            countRejection(e.reason);
        }
    }

    /** Records that the host has persisted the state of a token, and thereby all earlier ones. */
    public void persisted(long token) {
        outbox.persisted(token);
    }

    /** Returns the actions to perform in this order; to be called again after {@link #persisted}. */
    public List<Effect> effects() {
        while (outbox.release(acceptor.state())) {
            Message loopback;
            while ((loopback = outbox.loopback()) != null) {
                acceptor.handle(now, selfIndex, loopback);
            }
        }
        return outbox.drain();
    }

    /** The newest decided slot known. */
    public SlotId decidedSlot() {
        return acceptor.state().decidedSlot();
    }

    /** Number of the newest decided slot known. */
    public long slotNumber() {
        return acceptor.state().decidedSlot().slot();
    }

    /** Value of the newest decided slot known; empty for slot 0. */
    public byte[] value() {
        return acceptor.state().decidedValue().clone();
    }

    /** Whether this peer votes; false while it abstains because it may have lost the record of its votes. */
    public boolean canVote() {
        return acceptor.state().canVote();
    }

    /** Number of rejected messages and states, by reason. */
    public Map<RejectReason, Long> rejections() {
        Map<RejectReason, Long> all = new EnumMap<>(rejections);
        if (outbox.dropped() > 0) {
            all.put(RejectReason.QUEUE_FULL, outbox.dropped());
        }
        return all;
    }

    private void countRejection(RejectReason reason) {
        rejections.merge(reason, 1L, Long::sum);
    }
}
