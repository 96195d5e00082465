package calicochute.gossip;

import static calicochute.gossip.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.GossipMetrics.Metric;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Entries must reach all balancers in spite of loss and blocked links, must not come back after they have expired, and
 * must not use more of the network and of the store than the limits allow.
 */
class EntryReplicationTest {
    private static final long NOW = SimulatedCluster.BEGIN;

    @Test
    void entriesReach95PercentOf300MembersInOneSecondWithinTheTrafficLimit() {
        SimulatedCluster cluster = new SimulatedCluster(300, 21);
        cluster.lossRate = 0.1;
        assertTrue(cluster.runUntil(10 * SECOND, () -> cluster.allSee(cluster.runningIds())) >= 0);
        long bytes = cluster.sum(Metric.BYTES_IN)
                + cluster.sum(Metric.BYTES_OUT)
                + 28 * (cluster.sum(Metric.DATAGRAMS_IN) + cluster.sum(Metric.DATAGRAMS_OUT));
        long begin = cluster.now;
        for (int row = 0; row < 180; row++) { // as many as balancers publish in two seconds
            cluster.node(cluster.random.nextInt(300))
                    .publish("server-" + row + "-of-the-lane-with-a-name", 1, begin + 20 * SECOND);
        }
        cluster.run(SECOND);
        long received =
                cluster.running().mapToLong(node -> node.versions.size()).sum();
        assertTrue(received >= 0.95 * 300 * 180, "members that received an entry, on average: " + received / 180.0);
        cluster.run(SECOND);
        bytes = cluster.sum(Metric.BYTES_IN)
                + cluster.sum(Metric.BYTES_OUT)
                + 28 * (cluster.sum(Metric.DATAGRAMS_IN) + cluster.sum(Metric.DATAGRAMS_OUT))
                - bytes;
        assertTrue(bytes / 300 / 2 <= 64_000, "bytes per second and member: " + bytes / 300 / 2);
        assertEquals(0, cluster.sum(Metric.DROPS));
    }

    @Test
    void entriesBypassBlockedLinks() {
        SimulatedCluster cluster = new SimulatedCluster(5, 22);
        cluster.run(3 * SECOND);
        cluster.blocked = (from, to) ->
                Set.of(from, to).equals(Set.of("lb-000", "lb-001")) || from.equals("lb-000") && to.equals("lb-002");
        cluster.node(0).publish("key", 7, cluster.now + 60 * SECOND);
        assertTrue(cluster.runUntil(
                        3 * SECOND,
                        () -> cluster.running().allMatch(node -> node.versions.getOrDefault("key", 0L) == 7))
                >= 0);
    }

    @Test
    void aNewProcessReceivesAllEntries() {
        SimulatedCluster cluster = new SimulatedCluster(4, 23);
        cluster.run(3 * SECOND);
        for (int key = 0; key < 600; key++) {
            cluster.node(key % 4).publish("a key with a number " + key, key, cluster.now + 100 * SECOND);
            cluster.run(10_000);
        }
        cluster.node(1).running = false;
        SimulatedCluster.Node restarted = cluster.start("lb-001");
        long took = cluster.runUntil(20 * SECOND, () -> restarted.versions.size() == 600);
        assertTrue(took >= 0 && took < 10 * SECOND, "took " + took + ", has " + restarted.versions.size());
    }

    @Test
    void entriesExpireEverywhereAndOlderVersionsAreRejected() {
        SimulatedCluster cluster = new SimulatedCluster(3, 24);
        cluster.run(3 * SECOND);
        SimulatedCluster.Node author = cluster.node(0);
        author.publish("key", 5, cluster.now + 3 * SECOND);
        cluster.run(2 * SECOND);
        cluster.running().forEach(node -> assertEquals(1, node.gossip.metrics().get(Metric.ENTRIES)));
        cluster.run(2 * SECOND);
        cluster.running().forEach(node -> assertEquals(0, node.gossip.metrics().get(Metric.ENTRIES)));
        DatagramEncoder encoder = new DatagramEncoder("test", "lb-000", author.start);
        byte[] lateDatagram = MembershipTest.join(
                encoder.header(0),
                encoder.encode(new Message.EntryMessage(null, 0, 1, "key", 4, cluster.now + 60 * SECOND, new byte[3])));
        cluster.deliver("lb-001", lateDatagram);
        assertEquals(1, cluster.node(1).gossip.metrics().dropped(DropCause.OLD_VERSION));
        assertEquals(5, cluster.node(1).versions.get("key"));
        assertFalse(author.gossip.publish(cluster.now, 1, "key", 5, new byte[1], cluster.now + SECOND));
        assertTrue(author.gossip.publish(cluster.now, 1, "key", 6, new byte[1], cluster.now + SECOND));
        assertFalse(author.gossip.publish(cluster.now, 1, "other", 6, new byte[1], cluster.now), "already expired");
    }

    @Test
    void theLargestEntryWithTheLongestIdsFitsIntoADatagram() throws Exception {
        String sender = "a".repeat(ClusterConfig.MAX_ID_BYTES);
        DatagramEncoder encoder = new DatagramEncoder("test", sender, Long.MAX_VALUE);
        String key = "k".repeat(Limits.MAX_KEY_BYTES);
        Message.EntryMessage entry = new Message.EntryMessage(
                "b".repeat(ClusterConfig.MAX_ID_BYTES),
                Long.MAX_VALUE,
                255,
                key,
                Long.MIN_VALUE,
                Long.MAX_VALUE,
                new byte[1_000 - Limits.MAX_KEY_BYTES]);
        byte[] header = encoder.header(DatagramDecoder.MAX_INCARNATION);
        byte[] message = encoder.encode(entry);
        assertTrue(
                header.length + message.length + DatagramEncoder.CHECKSUM_BYTES <= Limits.MAX_DATAGRAM_BYTES,
                "bytes " + (header.length + message.length));
        Message.EntryMessage decoded = (Message.EntryMessage) new DatagramDecoder("test")
                .decode(MembershipTest.join(header, message))
                .messages()
                .get(0);
        assertEquals(key, decoded.key());
        assertTrue(header.length
                        + encoder.encode(new Message.DirectMessage(255, new byte[1_000])).length
                        + DatagramEncoder.CHECKSUM_BYTES
                <= Limits.MAX_DATAGRAM_BYTES);
    }

    @Test
    void entriesWithinAnEqualShareAreNeverEvicted() {
        Limits defaults = Limits.defaults();
        Limits smallStore = new Limits(
                defaults.probeIntervalMicros(),
                defaults.probeRetryMicros(),
                defaults.probeTimeoutMicros(),
                defaults.suspicionTimeoutMicros(),
                defaults.digestIntervalMicros(),
                defaults.minRepairAgeMicros(),
                defaults.maxEntryBytes(),
                40_000,
                100,
                defaults.maxLifetimeMicros(),
                defaults.maxClockAheadMicros(),
                defaults.repairBytesPerSecond(),
                defaults.peersPerTick());
        GossipMetrics metrics = new GossipMetrics();
        EntryStore store = new EntryStore(smallStore, metrics, 4);
        for (int i = 0; i < 12; i++) {
            store.storeIfNewer(NOW, 0, "modest", entry("m" + i, 100));
        }
        for (int i = 0; i < 1_000; i++) {
            store.storeIfNewer(NOW, 0, "greedy", entry("g" + i, 900));
            store.storeIfNewer(NOW, 0, "greedy too", entry("h" + i, i % 900));
        }
        for (int i = 0; i < 12; i++) {
            assertTrue(store.get(EntryStore.hash(1, "m" + i)) != null, "entry was evicted: m" + i);
            assertTrue(store.storeIfNewer(NOW, 0, "late", entry("l" + i, 100)) != null, "a new author gets its share");
        }
        assertTrue(metrics.get(Metric.ENTRY_BYTES) <= 40_000 && metrics.get(Metric.ENTRIES) <= 100);
        assertTrue(metrics.dropped(DropCause.QUOTA) > 1_000);
        assertNull(store.storeIfNewer(NOW, 0, "modest", entry("m0", 100)), "same version and content");
    }

    private static Message.EntryMessage entry(String key, int bodyBytes) {
        return new Message.EntryMessage("x", 1, 1, key, 1, NOW + SECOND, new byte[bodyBytes]);
    }

    @Test
    void directMessagesOfOneTickShareADatagram() {
        SimulatedCluster cluster = new SimulatedCluster(2, 25);
        cluster.run(3 * SECOND);
        List<String> sent = new ArrayList<>();
        long before = cluster.sum(Metric.DATAGRAMS_OUT);
        for (int i = 0; i < 20; i++) {
            assertTrue(cluster.node(0).gossip.sendDirect(cluster.now, "lb-001", 3, ("report " + i).getBytes()));
            sent.add("lb-000 3 report " + i);
        }
        cluster.run(110_000);
        assertEquals(sent, cluster.node(1).directMessages);
        assertTrue(cluster.sum(Metric.DATAGRAMS_OUT) - before <= 8);
        assertFalse(cluster.node(0).gossip.sendDirect(cluster.now, "lb-001", 3, new byte[1_001]));
        assertFalse(cluster.node(0).gossip.sendDirect(cluster.now, "nobody", 3, new byte[1]));
    }
}
