package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.DecidedNotice;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A sequence of values, each decided once by a majority of the configured peers; one of them. The value of a slot
 * stands for all before it, so that a peer needs the newest only and may jump over others. No I/O, one thread; times in
 * microseconds. After each call the host takes {@link #effects}. What holds and why: see the package.
 */
public final class Register {
    public static final int MAX_VALUE_BYTES = Codec.MAX_VALUE_BYTES;
    public static final int MAX_PEERS = 400;
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
     * @param definition hash of what the experiment is: one that was changed is another register
     * @param configured ids of all peers, by the operator's file; must be the same everywhere
     * @param start when this process began (microseconds); no two starts of a peer may be the same, and the process
     *     before must have ended
     * @param remembers the host keeps the state; false: it is gone with the process
     * @param state as last kept, null if there is none; one that cannot be read is refused, counted, and as none
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
            throw new IllegalArgumentException("1 to 400 different peers");
        }
        this.peers = List.copyOf(sorted);
        this.selfIndex = peers.indexOf(self);
        if (this.selfIndex < 0) {
            throw new IllegalArgumentException("not a peer: " + self);
        }
        if (incarnation <= 0) {
            throw new IllegalArgumentException("start " + incarnation);
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
     * What this peer would put into the slot after {@code after}; may be said again. False if that is not the newest
     * place, or too long.
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

    /** This peer's turn to propose, among the live: 0 at once, the others each a while later if nothing is decided. */
    public void setRank(int rank) {
        acceptor.setRank(rank);
    }

    /** Every 50 to 250 ms. */
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

    /** A message from a peer. One that is none of this register is counted. */
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

    /** The host has kept the state of this token, and so all before it. */
    public void persisted(long token) {
        outbox.persisted(token);
    }

    /** To be done in this order; call again after {@link #persisted}. */
    public List<Effect> effects() {
        while (outbox.release(acceptor.state())) {
            Message loopback;
            while ((loopback = outbox.loopback()) != null) {
                acceptor.handle(now, selfIndex, loopback);
            }
        }
        return outbox.drain();
    }

    /** Newest decided slot known. */
    public SlotId decidedSlot() {
        return acceptor.state().decidedSlot();
    }

    public long slotNumber() {
        return acceptor.state().decidedSlot().slot();
    }

    /** Its value; empty in slot 0. */
    public byte[] value() {
        return acceptor.state().decidedValue().clone();
    }

    /** False while this peer abstains because it has, or may have, forgotten its votes. */
    public boolean canVote() {
        return acceptor.state().canVote();
    }

    /** What was not taken, by cause. */
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
