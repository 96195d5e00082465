package calicochute.gossip;

import calicochute.gossip.Counts.What;
import calicochute.gossip.Membership.Peer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One balancer's part in the fleet: who is there, messages to one, entries to all. No I/O: datagrams go out by
 * `sender`, come in by `received`; `now` is the wall clock in microseconds. Used on one thread. Peers are trusted to be
 * who they say (a private network); what they send is not trusted to be well formed.
 */
public final class Gossip {
    /** At most 1,200 bytes a datagram; may be lost. */
    public interface Sender {
        void send(String peer, byte[] datagram);
    }

    /** Called from within `received` and `tick`; may call `direct` and `spread`. */
    public interface Hearer {
        void direct(long now, String from, long fromStart, int channel, byte[] body);

        /** An entry newer than what was known; `from` is its author, whoever passed it on. */
        void spread(long now, String from, long fromStart, int channel, String key, long version, byte[] body);

        /** Those there have changed; told with a tick. */
        void members(long now, Set<String> live);

        /** Two processes use one name: these starts come in turn. */
        default void twins(long now, String id, long oneStart, long otherStart) {}
    }

    private static final long LONGEST_STEP = 200_000; // a pause of this process is not held against the others
    private static final int FAN_OUT = 3;
    private static final long EXPIRE_EVERY = 500_000;
    private static final long TOLD_EVERY = 200_000;
    private static final int MOST_CHANNELS = 256;

    private final String me;
    private final long start;
    private final Limits limits;
    private final Hearer hearer;
    private final Counts counts = new Counts();
    private final Membership membership;
    private final Reader reader;
    private final Codec codec;
    private final Outbox outbox;
    private final Probes probes;
    private final SpreadStore store;
    private final Views views;
    private final Repair repair;
    private final Twins twins = new Twins();
    private Set<String> told = Set.of();
    private long last;
    private long steady; // microseconds, without the wall clock's steps and this process's pauses
    private long nextExpire;
    private boolean greeted;

    public Gossip(Group group, long start, Limits limits, long seed, Sender sender, Hearer hearer) {
        if (start <= 0) {
            throw new IllegalArgumentException("start has to be the time at which the process began: " + start);
        }
        me = group.me();
        this.start = start;
        this.limits = limits;
        this.hearer = hearer;
        Random random = new Random(seed);
        membership = new Membership(group, start, counts);
        reader = new Reader(group.cluster());
        codec = new Codec(group.cluster(), me, start);
        outbox = new Outbox(membership, codec, sender, counts);
        probes = new Probes(membership, outbox, limits, counts, random);
        store = new SpreadStore(limits, counts, group.members().size());
        views = new Views(membership, outbox, codec, random);
        repair = new Repair(membership, store, outbox, codec, probes, views, limits, counts, random);
    }

    /** The operator's list has changed: members not in it are forgotten. This process has to be in it. */
    public void members(long now, Collection<Member> members) {
        Group checked = new Group("", me, List.copyOf(members));
        for (Peer peer : List.copyOf(membership.peers())) {
            twins.forget(peer.id);
        }
        membership.list(checked.members());
        store.members(checked.members().size());
        greeted = false;
        tellMembers(now);
    }

    /** Every 50 to 100 ms. */
    public void tick(long now) {
        step(now);
        if (!greeted) {
            greeted = true;
            byte[] ping = codec.part(new Part.Ping(0));
            for (Peer peer : membership.peers()) {
                if (peer.start == 0) {
                    outbox.put(peer.id, ping);
                }
            }
        }
        probes.tick(steady);
        repair.tick(steady);
        if (steady >= nextExpire) {
            nextExpire = steady + EXPIRE_EVERY;
            store.expire(now);
        }
        if (membership.hasRumours()) {
            for (String peer : probes.some(FAN_OUT, "")) {
                outbox.rumours(peer, false);
            }
        }
        outbox.tick(limits.peersATick());
        tellMembers(now);
    }

    private void step(long now) {
        steady += last == 0 ? 0 : Math.max(0, Math.min(now - last, LONGEST_STEP));
        last = now;
    }

    private void tellMembers(long now) {
        Set<String> live = membership.live();
        if (live != told && !live.equals(told)) {
            told = live;
            hearer.members(now, live);
        }
    }

    public void received(long now, byte[] datagram) {
        step(now);
        counts.add(What.DATAGRAMS_IN);
        counts.add(What.BYTES_IN, datagram.length);
        Envelope envelope;
        try {
            envelope = reader.read(datagram);
        } catch (Reader.Unread e) {
            counts.drop(e.cause);
            return;
        }
        Peer peer = accepted(now, envelope);
        if (peer == null) {
            return;
        }
        membership.claim(steady, peer, envelope.start(), envelope.incarnation(), State.ALIVE);
        for (int i = 0; i < envelope.unknownParts(); i++) {
            counts.drop(Cause.UNKNOWN_PART);
        }
        for (Part part : envelope.parts()) {
            handle(now, envelope, part);
        }
        if (peer.state == State.GONE) {
            tellItself(peer); // it has to object before it is taken back
        }
    }

    private Peer accepted(long now, Envelope envelope) {
        String id = envelope.sender();
        if (id.equals(me)) {
            counts.drop(Cause.OWN_NAME);
            if (envelope.start() != start) {
                twins.later(me); // this one is here, no need to hear it
                heardEarlier(now, me, Math.min(envelope.start(), start), Math.max(envelope.start(), start));
            }
            return null;
        }
        Peer peer = membership.peer(id);
        if (peer == null) {
            counts.drop(Cause.UNKNOWN_SENDER);
            return null;
        }
        if (envelope.start() - limits.clockAhead() > now) {
            counts.drop(Cause.CLOCK_OFF);
            return null;
        }
        if (envelope.start() < peer.start) {
            counts.drop(Cause.START_WENT_BACK);
            heardEarlier(now, id, envelope.start(), peer.start);
            tellItself(peer);
            return null;
        }
        twins.later(id);
        return peer;
    }

    private void heardEarlier(long now, String id, long earlier, long later) {
        if (twins.earlier(steady, id, earlier, later)) {
            counts.add(What.TWINS);
            hearer.twins(now, id, earlier, later);
        }
    }

    private void tellItself(Peer peer) {
        if (steady - peer.toldAt >= TOLD_EVERY) {
            peer.toldAt = steady;
            outbox.now(peer.id, peer.rumour(codec));
        }
    }

    private void handle(long now, Envelope envelope, Part part) {
        String from = envelope.sender();
        if (part instanceof Part.Ping ping) {
            probes.pinged(from, ping);
        } else if (part instanceof Part.Ack ack) {
            probes.answered(from, ack);
        } else if (part instanceof Part.AskPing ask) {
            probes.asked(steady, from, ask);
        } else if (part instanceof Part.AckFor ack) {
            probes.answeredFor(ack);
        } else if (part instanceof Part.Rumour rumour) {
            rumour(now, rumour);
        } else if (part instanceof Part.Direct direct) {
            hearer.direct(now, from, envelope.start(), direct.channel(), direct.body());
        } else if (part instanceof Part.Digest digest) {
            if (!repair.heard(steady, from, digest)) {
                counts.drop(Cause.MALFORMED);
            }
        } else if (part instanceof Part.View view) {
            views.heard(from, view);
        } else if (part instanceof Part.Pull pull) {
            repair.pulled(steady, from, pull);
        } else if (part instanceof Part.Spread spread) {
            entry(now, envelope, spread);
        }
    }

    private void rumour(long now, Part.Rumour rumour) {
        Peer peer = membership.peer(rumour.id());
        if (rumour.start() - limits.clockAhead() > now) {
            counts.drop(Cause.CLOCK_OFF);
        } else if (rumour.id().equals(me)) {
            membership.aboutMe(rumour.start(), rumour.incarnation(), rumour.state());
            if (rumour.start() > start) {
                twins.later(me);
                heardEarlier(now, me, start, rumour.start());
            }
        } else if (peer == null) {
            counts.drop(Cause.UNKNOWN_MEMBER);
        } else {
            membership.claim(steady, peer, rumour.start(), rumour.incarnation(), rumour.state());
        }
    }

    private void entry(long now, Envelope envelope, Part.Spread part) {
        boolean repaired = part.author() != null;
        String author = repaired ? part.author() : envelope.sender();
        if (!membership.listed(author)) {
            counts.drop(Cause.UNKNOWN_MEMBER);
            return;
        }
        long authorStart = repaired ? part.authorStart() : envelope.start();
        SpreadStore.Entry taken = store.take(
                now,
                steady,
                author,
                new Part.Spread(
                        author, authorStart, part.channel(), part.key(), part.version(), part.until(), part.body()));
        if (taken != null) {
            counts.add(What.TAKEN);
            if (repaired) {
                counts.add(What.TAKEN_BY_REPAIR);
                repair.repaired();
            }
            hearer.spread(now, author, authorStart, part.channel(), part.key(), part.version(), part.body());
        }
    }

    /**
     * To one peer, once, with the next tick; may be lost. False: not a member there, too long, or too much waits for
     * it.
     */
    public boolean direct(long now, String to, int channel, byte[] body) {
        Peer peer = membership.peer(to);
        if (peer == null || peer.state == State.GONE) {
            counts.drop(Cause.UNKNOWN_MEMBER);
            return false;
        }
        if (body.length > limits.entryBytes() || channel < 0 || channel >= MOST_CHANNELS) {
            counts.drop(Cause.ENTRY_TOO_LONG);
            return false;
        }
        return outbox.put(to, codec.part(new Part.Direct(channel, body.clone())));
    }

    /**
     * To all that are there now or come until `until`: the newest version of (channel, key). Versions have to grow over
     * restarts too (use the time). False: not taken, as too old, too long or over this balancer's share of the store.
     */
    public boolean spread(long now, int channel, String key, long version, byte[] body, long until) {
        if (channel < 0 || channel >= MOST_CHANNELS || key.getBytes(StandardCharsets.UTF_8).length > Limits.KEY) {
            counts.drop(Cause.ENTRY_TOO_LONG);
            return false;
        }
        byte[] own = body.clone();
        if (store.take(now, steady, me, new Part.Spread(me, start, channel, key, version, until, own)) == null) {
            return false;
        }
        counts.add(What.SPREAD);
        byte[] part = codec.part(new Part.Spread(null, 0, channel, key, version, until, own));
        for (Peer peer : membership.peers()) {
            if (peer.state != State.GONE) {
                outbox.put(peer.id, part);
            }
        }
        return true;
    }

    /** This balancer and those taken to be there (suspects too, until they are gone). */
    public Set<String> live() {
        return membership.live();
    }

    public List<Presence> presences() {
        return membership.presences();
    }

    public Counts counts() {
        return counts;
    }
}
