package calicochute.gossip;

import static calicochute.gossip.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.GossipMetrics.Metric;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Failed members must be dropped soon and running ones never, while datagrams are lost, delayed or blocked; a dropped
 * member must come back only if it is running.
 */
class MembershipTest {
    private static SimulatedCluster clusterWithFullViews(int size, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(size, seed);
        assertTrue(
                cluster.runUntil(10 * SECOND, () -> cluster.allSee(cluster.runningIds())) >= 0,
                "every member is live in every view");
        return cluster;
    }

    @Test
    void onlyFailedMembersAreDroppedAndWithinThreeSeconds() {
        SimulatedCluster cluster = new SimulatedCluster(300, 11);
        cluster.lossRate = 0.1;
        assertTrue(cluster.runUntil(10 * SECOND, () -> cluster.allSee(cluster.runningIds())) >= 0);
        for (int i = 0; i < 5; i++) {
            cluster.node(i * 31).running = false;
        }
        Set<String> running = cluster.runningIds();
        long took = cluster.runUntil(10 * SECOND, () -> cluster.allSee(running));
        assertTrue(took >= 0 && took <= 3 * SECOND, "took " + took);
        cluster.run(cluster.tickInterval);
        cluster.running().forEach(node -> assertEquals(running, node.members, "as reported to the listener"));
        SimulatedCluster.Node restarted = cluster.start(cluster.node(31).id);
        took = cluster.runUntil(5 * SECOND, () -> cluster.allSee(cluster.runningIds()));
        assertTrue(took >= 0 && took <= 3 * SECOND, "restarted member was back after " + took);
        cluster.run(cluster.tickInterval);
        assertTrue(restarted.members.contains("lb-000") == false && restarted.members.size() == 296);
    }

    @Test
    void aPausedProcessIsDroppedAndComesBackWithTheSameStart() {
        SimulatedCluster cluster = clusterWithFullViews(5, 2);
        SimulatedCluster.Node node = cluster.node(3);
        cluster.pause(node, 10 * SECOND);
        cluster.run(4 * SECOND);
        assertTrue(cluster.allSee(cluster.runningIds()), "dropped");
        cluster.run(6 * SECOND);
        assertTrue(
                cluster.runUntil(3 * SECOND, () -> node.running && cluster.allSee(cluster.runningIds())) >= 0,
                "live again");
        assertEquals(
                node.start,
                cluster.node(0).gossip.statuses().stream()
                        .filter(status -> status.id().equals(node.id))
                        .findAny()
                        .orElseThrow()
                        .start());
        assertTrue(node.gossip.metrics().get(Metric.OBJECTIONS) > 0);
    }

    @Test
    void linksBlockedInOneDirectionCauseNoDropsWhileIndirectProbesSucceed() {
        SimulatedCluster cluster = clusterWithFullViews(6, 3);
        cluster.blocked = (from, to) ->
                from.equals("lb-001") && to.equals("lb-002") || from.equals("lb-003") && to.equals("lb-000");
        cluster.run(60 * SECOND);
        assertEquals(0, cluster.sum(Metric.DROPS));
    }

    @Test
    void lateDatagramsDoNotReviveADeadMember() {
        SimulatedCluster cluster = clusterWithFullViews(5, 4);
        List<byte[]> delayed = new ArrayList<>();
        SimulatedCluster.Node stopped = cluster.node(4);
        // Records what the process would send in three seconds, as if the network had delayed it.
        Gossip recorder = new Gossip(
                new ClusterConfig("test", stopped.id, cluster.list),
                stopped.start,
                cluster.limits,
                5,
                (to, bytes) -> delayed.add(bytes),
                stopped);
        for (int i = 0; i < 30; i++) {
            recorder.tick(cluster.now + i * 100_000);
        }
        stopped.running = false;
        cluster.run(5 * SECOND);
        Set<String> running = cluster.runningIds();
        assertTrue(cluster.allSee(running));
        cluster.node(0).running = false;
        SimulatedCluster.Node restarted = cluster.start("lb-000");
        cluster.run(3 * SECOND); // long enough for the new process to learn that the member is dead
        assertTrue(delayed.size() > 5);
        for (byte[] datagram : delayed) {
            for (String to : running) {
                cluster.deliver(to, datagram);
                assertFalse(
                        cluster.nodes.get(to).gossip.live().contains(stopped.id), "dead member is live again at " + to);
            }
            cluster.run(SECOND);
        }
        assertTrue(cluster.allSee(running));
        assertEquals(running, restarted.members);
    }

    @Test
    void twoProcessesWithTheSameIdAreReported() {
        SimulatedCluster cluster = clusterWithFullViews(4, 5);
        SimulatedCluster.Node first = cluster.node(2);
        SimulatedCluster.Node second = cluster.start(first.id); // the first process keeps running
        cluster.run(10 * SECOND);
        assertTrue(first.running && second.running);
        assertTrue(cluster.node(0).duplicateIds.contains(first.id), "reported by another member");
        assertTrue(cluster.node(0).gossip.metrics().get(Metric.TWINS) == 1, "reported once a minute");
        assertEquals(cluster.runningIds(), cluster.node(0).members);
        cluster.node(1).running = false;
        SimulatedCluster.Node restarted = cluster.start("lb-001");
        cluster.run(10 * SECOND);
        assertFalse(cluster.node(0).duplicateIds.contains(restarted.id), "a restart must not be reported");
    }

    @Test
    void membersMissingFromTheListAreIgnored() throws Exception {
        SimulatedCluster cluster = clusterWithFullViews(3, 6);
        Gossip gossip = cluster.node(0).gossip;
        DatagramEncoder encoder = new DatagramEncoder("test", "lb-001", cluster.node(1).start);
        gossip.receive(
                cluster.now,
                join(
                        encoder.header(0),
                        encoder.encode(new Message.MembershipUpdate("lb-999", cluster.now, 0, MemberState.ALIVE))));
        assertEquals(1, gossip.metrics().dropped(DropCause.UNKNOWN_MEMBER));
        DatagramEncoder unlisted = new DatagramEncoder("test", "lb-999", cluster.now);
        gossip.receive(cluster.now, join(unlisted.header(0)));
        assertEquals(1, gossip.metrics().dropped(DropCause.UNKNOWN_SENDER));
        assertEquals(cluster.runningIds(), gossip.live());
        gossip.setMembers(cluster.now, cluster.list.subList(0, 2));
        assertEquals(Set.of("lb-000", "lb-001"), cluster.node(0).members);
        cluster.run(3 * SECOND);
        assertEquals(Set.of("lb-000", "lb-001"), gossip.live());
    }

    @Test
    void viewsAndEntriesConvergeInFiveSecondsAfterAPartition() {
        SimulatedCluster cluster = clusterWithFullViews(40, 7);
        cluster.lossRate = 0.02;
        cluster.blocked = (from, to) -> (from.compareTo("lb-015") < 0) != (to.compareTo("lb-015") < 0);
        for (int second = 0; second < 20; second++) {
            for (int key = 0; key < 20; key++) {
                cluster.node((key * 2 + second) % 40)
                        .publish("row-" + key + "-" + (second + key) % 2, second, cluster.now + 60 * SECOND);
            }
            cluster.run(SECOND);
        }
        assertEquals(15, cluster.node(3).members.size());
        assertEquals(25, cluster.node(30).members.size());
        assertFalse(cluster.sameEntries());
        cluster.blocked = (from, to) -> false;
        long took = cluster.runUntil(10 * SECOND, () -> cluster.allSee(cluster.runningIds()) && cluster.sameEntries());
        assertTrue(took >= 0 && took <= 5 * SECOND, "took " + took);
    }

    /** A datagram of the header and the messages given, with its checksum. */
    static byte[] join(byte[]... parts) {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return DatagramEncoder.withChecksum(all);
    }
}
