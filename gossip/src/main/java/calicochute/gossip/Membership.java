package calicochute.gossip;

import calicochute.gossip.Part.Rumour;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Who is there. Claims (start, incarnation, state) of a member are ordered, and the greatest heard is kept: any order,
 * loss and repetition gives the same view, and what was once gone stays so until the member itself claims more. That is
 * kept for as long as the operator's list names the member, so that no late datagram brings a ghost.
 */
final class Membership {
    static final class Peer {
        final String id;
        long start; // 0: never heard of
        int incarnation;
        State state = State.GONE;
        long suspectedAt; // steady microseconds
        boolean askedAgain;
        long toldAt = Long.MIN_VALUE / 2;
        private byte[] written;

        Peer(String id) {
            this.id = id;
        }

        /** What is thought of it, as a part for datagrams. */
        byte[] rumour(Codec codec) {
            if (written == null) {
                written = codec.part(new Rumour(id, start, incarnation, state));
            }
            return written;
        }
    }

    private static final int REPEATS = 3; // times log2 of the number of members
    private final String me;
    private final long myStart;
    private final Counts counts;
    private final TreeMap<String, Peer> peers = new TreeMap<>(); // without me
    private final Map<String, Integer> rumours =
            new LinkedHashMap<>(); // member to times sent; the least lately sent first
    private final Peer self; // as others should see this process
    private int suspects;
    private Integer hash;
    private Set<String> live;

    Membership(Group group, long myStart, Counts counts) {
        me = group.me();
        this.myStart = myStart;
        this.counts = counts;
        self = new Peer(me);
        self.start = myStart;
        self.state = State.ALIVE;
        list(group.members());
    }

    /** The operator's list, maybe changed: those not in it are forgotten. */
    void list(Collection<Member> members) {
        Set<String> ids = new TreeSet<>();
        for (Member member : members) {
            ids.add(member.id());
        }
        ids.remove(me);
        peers.keySet().retainAll(ids);
        for (String id : ids) {
            peers.computeIfAbsent(id, Peer::new);
        }
        ids.add(me);
        rumours.keySet().retainAll(ids);
        live = null;
        hash = null;
        suspects = (int) peers.values().stream()
                .filter(peer -> peer.state == State.SUSPECT)
                .count();
    }

    boolean hasSuspects() {
        return suspects > 0;
    }

    int incarnation() {
        return self.incarnation;
    }

    Peer peer(String id) {
        return peers.get(id);
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    boolean listed(String id) {
        return id.equals(me) || peers.containsKey(id);
    }

    /** Takes a claim in if it is greater than what is known. */
    boolean claim(long steady, Peer peer, long start, int incarnation, State state) {
        int order = Long.compare(start, peer.start);
        order = order != 0 ? order : Integer.compare(incarnation, peer.incarnation);
        order = order != 0 ? order : state.compareTo(peer.state);
        if (order <= 0) {
            return false;
        }
        if (peer.state != state) {
            count(peer, state);
            suspects += (state == State.SUSPECT ? 1 : 0) - (peer.state == State.SUSPECT ? 1 : 0);
            if ((peer.state == State.GONE) != (state == State.GONE)) {
                live = null;
            }
        }
        boolean greets = start != peer.start
                && state == State.ALIVE; // a new process greets all itself; views tell who missed it
        peer.start = start;
        peer.incarnation = incarnation;
        peer.state = state;
        peer.suspectedAt = steady;
        peer.askedAgain = false;
        peer.written = null;
        hash = null;
        if (greets) {
            rumours.remove(peer.id);
        } else {
            tell(peer.id);
        }
        return true;
    }

    private void count(Peer peer, State state) {
        if (state == State.SUSPECT) {
            counts.add(Counts.What.SUSPICIONS);
        } else if (state == State.GONE) {
            counts.add(Counts.What.DROPS);
        } else if (peer.state == State.GONE && peer.start != 0) {
            counts.add(Counts.What.RETURNS);
        }
    }

    /**
     * A claim about this process by others: where it says less than alive, it is objected to with a higher incarnation.
     */
    void aboutMe(long start, int claimed, State state) {
        if (start == myStart && claimed >= self.incarnation && (state != State.ALIVE || claimed > self.incarnation)) {
            self.incarnation = Math.min(claimed + 1, Reader.HIGHEST_INCARNATION);
            self.written = null;
            hash = null;
            counts.add(Counts.What.OBJECTIONS);
            tell(me);
        }
    }

    private void tell(String id) {
        rumours.remove(id);
        rumours.put(id, 0);
    }

    boolean hasRumours() {
        return !rumours.isEmpty();
    }

    /**
     * Rumours for a datagram to a peer that has room for so many bytes; what is said of the peer itself first, that it
     * may object.
     */
    List<byte[]> rumours(Peer to, Codec codec, int room, boolean aboutItself) {
        List<byte[]> parts = new ArrayList<>();
        int left = room;
        if (aboutItself && to.start != 0 && to.state != State.ALIVE) {
            byte[] part = to.rumour(codec);
            if (part.length <= left) {
                left -= part.length;
                parts.add(part);
            }
        }
        int most = REPEATS * (32 - Integer.numberOfLeadingZeros(peers.size() + 1));
        for (int i = rumours.size(); i > 0; i--) {
            Map.Entry<String, Integer> next = rumours.entrySet().iterator().next();
            String id = next.getKey();
            byte[] part = (id.equals(me) ? self : peers.get(id)).rumour(codec);
            if (part.length > left) {
                break;
            }
            int sent = next.getValue() + 1;
            rumours.remove(id);
            if (sent < most) {
                rumours.put(id, sent);
            }
            left -= part.length;
            parts.add(part);
        }
        return parts;
    }

    /** All of the list in its order, this process too. */
    List<Peer> all() {
        List<Peer> all = new ArrayList<>(peers.headMap(me).values());
        all.add(self);
        all.addAll(peers.tailMap(me).values());
        return all;
    }

    int listHash() {
        return peers.keySet().hashCode() + me.hashCode();
    }

    /** Equal for equal views, whoever holds them. */
    int hash() {
        if (hash == null) {
            int sum = 0;
            for (Peer peer : all()) {
                sum += peer.start == 0 ? 0 : hash(peer);
            }
            hash = sum;
        }
        return hash;
    }

    static int hash(Peer peer) {
        long mixed =
                ((peer.id.hashCode() * 31L + peer.start) * 1_000_003 + peer.incarnation) * 31 + peer.state.ordinal();
        return (int) (mixed * 0x9E3779B97F4A7C15L >>> 32);
    }

    /** Those there, this process among them; suspects too, until they are gone. */
    Set<String> live() {
        if (live == null) {
            TreeSet<String> ids = new TreeSet<>();
            ids.add(me);
            for (Peer peer : peers.values()) {
                if (peer.state != State.GONE) {
                    ids.add(peer.id);
                }
            }
            live = Collections.unmodifiableSet(ids);
        }
        return live;
    }

    List<Presence> presences() {
        List<Presence> all = new ArrayList<>();
        all.add(new Presence(me, myStart, State.ALIVE));
        for (Peer peer : peers.values()) {
            all.add(new Presence(peer.id, peer.start, peer.state));
        }
        return all;
    }
}
