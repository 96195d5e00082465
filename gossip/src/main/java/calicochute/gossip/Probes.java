package calicochute.gossip;

import calicochute.gossip.Membership.Peer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Probes in turn, as in SWIM: one member each period, directly, again, then by three others; without an answer it is
 * suspected, and without an objection gone. The gone are asked now and then, so that a healed split is found from both
 * sides.
 */
final class Probes {
    private static final int HELPERS = 3;
    private static final int MOST_RELAYS = 256;

    private static final class Probe {
        final String target;
        final long began;
        int sent = 1;

        Probe(String target, long began) {
            this.target = target;
            this.began = began;
        }
    }

    private record Relay(String asker, int number, String target, long began) {}

    private final Membership membership;
    private final Outbox outbox;
    private final Limits limits;
    private final Counts counts;
    private final Random random;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private final List<String> order = new ArrayList<>();
    private long nextProbe;
    private long nextGone;
    private int number;

    Probes(Membership membership, Outbox outbox, Limits limits, Counts counts, Random random) {
        this.membership = membership;
        this.outbox = outbox;
        this.limits = limits;
        this.counts = counts;
        this.random = random;
        number = random.nextInt(Integer.MAX_VALUE);
        nextProbe = random.nextInt((int) Math.min(Integer.MAX_VALUE, limits.probeEvery()));
    }

    void tick(long steady) {
        relays.values().removeIf(relay -> steady - relay.began() >= limits.unanswered());
        goOn(steady);
        if (membership.hasSuspects()) {
            suspects(steady);
        }
        if (steady >= nextProbe) {
            nextProbe = Math.max(nextProbe + limits.probeEvery(), steady);
            Peer target = inTurn();
            if (target != null) {
                probe(steady, target);
            }
        }
        gone(steady);
    }

    private void probe(long steady, Peer target) {
        counts.add(Counts.What.PROBES);
        int mine = next();
        probes.put(mine, new Probe(target.id, steady));
        outbox.now(target.id, new Part.Ping(mine));
    }

    private int next() {
        number = number == Integer.MAX_VALUE ? 0 : number + 1;
        return number;
    }

    /** The members there in random order, then in another one: a silent one is asked by each within two rounds. */
    private Peer inTurn() {
        for (int round = 0; round < 2; round++) {
            while (!order.isEmpty()) {
                Peer peer = membership.peer(order.remove(order.size() - 1));
                if (peer != null && peer.state != State.GONE) {
                    return peer;
                }
            }
            for (Peer peer : membership.peers()) {
                if (peer.state != State.GONE) {
                    order.add(peer.id);
                }
            }
            Collections.shuffle(order, random);
        }
        return null;
    }

    private void goOn(long steady) {
        for (Iterator<Map.Entry<Integer, Probe>> all = probes.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Integer, Probe> entry = all.next();
            Probe probe = entry.getValue();
            Peer target = membership.peer(probe.target);
            long age = steady - probe.began;
            if (target == null || target.state == State.GONE) {
                all.remove();
            } else if (age >= limits.unanswered()) {
                all.remove();
                if (target.state == State.ALIVE) {
                    counts.add(Counts.What.SUSPICIONS_OWN);
                    membership.claim(steady, target, target.start, target.incarnation, State.SUSPECT);
                    outbox.now(target.id, new Part.Ping(next())); // carries the suspicion, that it may object
                }
            } else if (age >= probe.sent * limits.again() && probe.sent < 3) {
                probe.sent++;
                outbox.now(probe.target, new Part.Ping(entry.getKey()));
                if (probe.sent == 3) {
                    for (String helper : some(HELPERS, probe.target)) {
                        outbox.now(helper, new Part.AskPing(entry.getKey(), probe.target));
                    }
                }
            }
        }
    }

    private void suspects(long steady) {
        for (Peer peer : membership.peers()) {
            long age = steady - peer.suspectedAt;
            if (peer.state == State.SUSPECT && age >= limits.suspected()) {
                membership.claim(steady, peer, peer.start, peer.incarnation, State.GONE);
                outbox.forget(peer.id);
            } else if (peer.state == State.SUSPECT && age >= limits.suspected() / 2 && !peer.askedAgain) {
                peer.askedAgain = true; // its objection may have been lost on the way here
                outbox.now(peer.id, new Part.Ping(next()));
            }
        }
    }

    /**
     * Each of the gone is asked about ten times a second by the whole fleet, and by one balancer at most once a second
     * in all.
     */
    private void gone(long steady) {
        if (steady < nextGone) {
            return;
        }
        List<String> gone = new ArrayList<>();
        for (Peer peer : membership.peers()) {
            if (peer.state == State.GONE) {
                gone.add(peer.id);
            }
        }
        long pause = 1_000_000;
        if (!gone.isEmpty()) {
            outbox.now(gone.get(random.nextInt(gone.size())), new Part.Ping(next()));
            pause = Math.max(pause, 100_000L * (membership.peers().size() - gone.size()) / gone.size());
        }
        nextGone = steady + pause / 2 + (long) (random.nextDouble() * pause);
    }

    /** So many of those there, at random. */
    List<String> some(int many, String but) {
        List<String> all = new ArrayList<>();
        for (Peer peer : membership.peers()) {
            if (peer.state == State.ALIVE && !peer.id.equals(but)) {
                all.add(peer.id);
            }
        }
        int taken = Math.min(many, all.size());
        for (int i = 0; i < taken; i++) {
            Collections.swap(all, i, i + random.nextInt(all.size() - i));
        }
        return all.subList(0, taken);
    }

    void pinged(String by, Part.Ping ping) {
        outbox.now(by, new Part.Ack(ping.number()));
    }

    void asked(long steady, String by, Part.AskPing ask) {
        if (membership.peer(ask.target()) == null) {
            counts.drop(Cause.UNKNOWN_MEMBER);
        } else if (relays.size() >= MOST_RELAYS) {
            counts.drop(Cause.RELAYS_FULL);
        } else {
            int mine = next();
            relays.put(mine, new Relay(by, ask.number(), ask.target(), steady));
            outbox.now(ask.target(), new Part.Ping(mine));
        }
    }

    void answered(String by, Part.Ack ack) {
        Probe probe = probes.get(ack.number());
        if (probe != null && probe.target.equals(by)) {
            probes.remove(ack.number());
        }
        Relay relay = relays.get(ack.number());
        if (relay != null && relay.target().equals(by)) {
            relays.remove(ack.number());
            outbox.now(relay.asker(), new Part.AckFor(relay.number(), by));
        }
    }

    void answeredFor(Part.AckFor ack) {
        Probe probe = probes.get(ack.number());
        if (probe != null && probe.target.equals(ack.target())) {
            probes.remove(ack.number());
        }
    }
}
