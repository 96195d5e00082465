package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import calicochute.gossip.Membership.Peer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Failure detection as in SWIM. Each period probes one member: by a direct ping, by a second one, then by a third one
 * together with indirect pings through other members. A member that does not answer becomes suspect, and a suspect that
 * does not refute the suspicion becomes dead. Dead members are still pinged at a low rate, so that both sides of a
 * partition find each other after it has healed.
 */
final class FailureDetector {
    private static final int INDIRECT_PROBE_HELPERS = 3;
    private static final int MAX_RELAYED_PROBES = 256;

    private static final class Probe {
        final String target;
        final long begunAtMicros;
        int pingsSent = 1;

        Probe(String target, long begunAtMicros) {
            this.target = target;
            this.begunAtMicros = begunAtMicros;
        }
    }

    /** A probe on behalf of another member; `requestSequence` is the number that the other member gave it. */
    private record RelayedProbe(String requester, int requestSequence, String target, long begunAtMicros) {}

    private final Membership membership;
    private final Outbox outbox;
    private final Limits limits;
    private final GossipMetrics metrics;
    private final Random random;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long nextProbeMicros;
    private long nextDeadProbeMicros;
    private int sequence;

    FailureDetector(Membership membership, Outbox outbox, Limits limits, GossipMetrics metrics, Random random) {
        this.membership = membership;
        this.outbox = outbox;
        this.limits = limits;
        this.metrics = metrics;
        this.random = random;
        sequence = random.nextInt(Integer.MAX_VALUE);
        nextProbeMicros = random.nextInt((int) Math.min(Integer.MAX_VALUE, limits.probeIntervalMicros()));
    }

    void tick(long elapsedMicros) {
        relayedProbes
                .values()
                .removeIf(relayed -> elapsedMicros - relayed.begunAtMicros() >= limits.probeTimeoutMicros());
        continueProbes(elapsedMicros);
        if (membership.hasSuspects()) {
            checkSuspects(elapsedMicros);
        }
        if (elapsedMicros >= nextProbeMicros) {
            nextProbeMicros = Math.max(nextProbeMicros + limits.probeIntervalMicros(), elapsedMicros);
            Peer target = nextTarget();
            if (target != null) {
                beginProbe(elapsedMicros, target);
            }
        }
        pingDeadMember(elapsedMicros);
    }

    private void beginProbe(long elapsedMicros, Peer target) {
        metrics.increment(Metric.PROBES);
        int probeSequence = nextSequence();
        probes.put(probeSequence, new Probe(target.id, elapsedMicros));
        outbox.sendNow(target.id, new Message.Ping(probeSequence));
    }

    private int nextSequence() {
        sequence = sequence == Integer.MAX_VALUE ? 0 : sequence + 1;
        return sequence;
    }

    /**
     * The next member in a random order, which is drawn again after each round: every balancer probes a failed member
     * within two rounds.
     */
    private Peer nextTarget() {
        for (int round = 0; round < 2; round++) {
            while (!probeOrder.isEmpty()) {
                Peer peer = membership.peer(probeOrder.remove(probeOrder.size() - 1));
                if (peer != null && peer.state != MemberState.DEAD) {
                    return peer;
                }
            }
            for (Peer peer : membership.peers()) {
                if (peer.state != MemberState.DEAD) {
                    probeOrder.add(peer.id);
                }
            }
            Collections.shuffle(probeOrder, random);
        }
        return null;
    }

    private void continueProbes(long elapsedMicros) {
        for (Iterator<Map.Entry<Integer, Probe>> iterator = probes.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<Integer, Probe> entry = iterator.next();
            Probe probe = entry.getValue();
            Peer target = membership.peer(probe.target);
            long ageMicros = elapsedMicros - probe.begunAtMicros;
            if (target == null || target.state == MemberState.DEAD) {
                iterator.remove();
            } else if (ageMicros >= limits.probeTimeoutMicros()) {
                iterator.remove();
                if (target.state == MemberState.ALIVE) {
                    metrics.increment(Metric.SUSPICIONS_OWN);
                    membership.applyClaim(elapsedMicros, target, target.start, target.incarnation, MemberState.SUSPECT);
                    // The datagram also carries the suspicion, so that the target can refute it.
                    outbox.sendNow(target.id, new Message.Ping(nextSequence()));
                }
            } else if (ageMicros >= probe.pingsSent * limits.probeRetryMicros() && probe.pingsSent < 3) {
                probe.pingsSent++;
                outbox.sendNow(probe.target, new Message.Ping(entry.getKey()));
                if (probe.pingsSent == 3) {
                    for (String helper : randomAlivePeers(INDIRECT_PROBE_HELPERS, probe.target)) {
                        outbox.sendNow(helper, new Message.PingRequest(entry.getKey(), probe.target));
                    }
                }
            }
        }
    }

    private void checkSuspects(long elapsedMicros) {
        for (Peer peer : membership.peers()) {
            long ageMicros = elapsedMicros - peer.updatedAtMicros;
            if (peer.state == MemberState.SUSPECT && ageMicros >= limits.suspicionTimeoutMicros()) {
                membership.applyClaim(elapsedMicros, peer, peer.start, peer.incarnation, MemberState.DEAD);
                outbox.clear(peer.id);
            } else if (peer.state == MemberState.SUSPECT
                    && ageMicros >= limits.suspicionTimeoutMicros() / 2
                    && !peer.pingedAgain) {
                peer.pingedAgain = true; // its refutation may have been lost
                outbox.sendNow(peer.id, new Message.Ping(nextSequence()));
            }
        }
    }

    /**
     * Pings a random dead member now and then: each dead member gets at most about ten pings a second from the whole
     * cluster, and one balancer sends at most one a second on average.
     */
    private void pingDeadMember(long elapsedMicros) {
        if (elapsedMicros < nextDeadProbeMicros) {
            return;
        }
        List<String> dead = new ArrayList<>();
        for (Peer peer : membership.peers()) {
            if (peer.state == MemberState.DEAD) {
                dead.add(peer.id);
            }
        }
        long intervalMicros = 1_000_000;
        if (!dead.isEmpty()) {
            outbox.sendNow(dead.get(random.nextInt(dead.size())), new Message.Ping(nextSequence()));
            intervalMicros =
                    Math.max(intervalMicros, 100_000L * (membership.peers().size() - dead.size()) / dead.size());
        }
        nextDeadProbeMicros = elapsedMicros + intervalMicros / 2 + (long) (random.nextDouble() * intervalMicros);
    }

    /** Up to `count` random peers that are alive and not suspect, without `excludedId`. */
    List<String> randomAlivePeers(int count, String excludedId) {
        List<String> alive = new ArrayList<>();
        for (Peer peer : membership.peers()) {
            if (peer.state == MemberState.ALIVE && !peer.id.equals(excludedId)) {
                alive.add(peer.id);
            }
        }
        int chosen = Math.min(count, alive.size());
        for (int i = 0; i < chosen; i++) {
            Collections.swap(alive, i, i + random.nextInt(alive.size() - i));
        }
        return alive.subList(0, chosen);
    }

    void onPing(String from, Message.Ping ping) {
        outbox.sendNow(from, new Message.Ack(ping.sequence()));
    }

    void onPingRequest(long elapsedMicros, String from, Message.PingRequest request) {
        if (membership.peer(request.target()) == null) {
            metrics.countDrop(DropCause.UNKNOWN_MEMBER);
        } else if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
            metrics.countDrop(DropCause.RELAYS_FULL);
        } else {
            int probeSequence = nextSequence();
            relayedProbes.put(
                    probeSequence, new RelayedProbe(from, request.sequence(), request.target(), elapsedMicros));
            outbox.sendNow(request.target(), new Message.Ping(probeSequence));
        }
    }

    void onAck(String from, Message.Ack ack) {
        Probe probe = probes.get(ack.sequence());
        if (probe != null && probe.target.equals(from)) {
            probes.remove(ack.sequence());
        }
        RelayedProbe relayed = relayedProbes.get(ack.sequence());
        if (relayed != null && relayed.target().equals(from)) {
            relayedProbes.remove(ack.sequence());
            outbox.sendNow(relayed.requester(), new Message.IndirectAck(relayed.requestSequence(), from));
        }
    }

    void onIndirectAck(Message.IndirectAck ack) {
        Probe probe = probes.get(ack.sequence());
        if (probe != null && probe.target.equals(ack.target())) {
            probes.remove(ack.sequence());
        }
    }
}
