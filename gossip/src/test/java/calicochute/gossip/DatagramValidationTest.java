package calicochute.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.GossipMetrics.Metric;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Datagrams that are malformed, of another cluster or outdated must be dropped, and counted once by their cause. */
class DatagramValidationTest {
    private static final long NOW = SimulatedCluster.BEGIN;
    private final SimulatedCluster cluster = new SimulatedCluster(3, 31);
    private final Gossip gossip = cluster.node(0).gossip;

    private void assertDropped(DropCause cause, byte[] datagram) {
        long before = gossip.metrics().dropped(cause);
        long total = gossip.metrics().dropped();
        gossip.receive(NOW, datagram);
        assertEquals(before + 1, gossip.metrics().dropped(cause), cause.name());
        assertEquals(total + 1, gossip.metrics().dropped(), "counted once");
    }

    @Test
    void unacceptableDatagramsAreDroppedAndCountedByCause() {
        DatagramEncoder encoder = new DatagramEncoder("test", "lb-001", NOW);
        byte[] header = encoder.header(0);
        assertDropped(DropCause.TOO_LONG, new byte[1_201]);
        assertDropped(DropCause.NOT_OURS, new byte[0]);
        assertDropped(DropCause.NOT_OURS, "GET / HTTP/1.1".getBytes());
        assertDropped(DropCause.CLUSTER, MembershipTest.join(new DatagramEncoder("another", "lb-001", NOW).header(0)));
        assertDropped(
                DropCause.UNKNOWN_SENDER, MembershipTest.join(new DatagramEncoder("test", "lb-003", NOW).header(0)));
        assertDropped(DropCause.OWN_NAME, MembershipTest.join(new DatagramEncoder("test", "lb-000", NOW).header(0)));
        assertDropped(
                DropCause.CLOCK_OFF,
                MembershipTest.join(new DatagramEncoder("test", "lb-001", NOW + 6_000_000).header(0)));
        assertDropped(DropCause.MALFORMED, MembershipTest.join(Arrays.copyOf(header, header.length - 1)));
        byte[] corrupted = MembershipTest.join(header);
        corrupted[12] ^= 1;
        assertDropped(DropCause.CHECKSUM, corrupted);
        byte[] otherVersion = header.clone();
        otherVersion[4] = 2;
        assertDropped(DropCause.VERSION, MembershipTest.join(otherVersion));
        assertDropped(DropCause.MALFORMED, MembershipTest.join(header, new byte[] {0x01}));
        byte[] nested = new byte[1_000];
        Arrays.fill(nested, (byte) 0x81);
        assertDropped(DropCause.MALFORMED, MembershipTest.join(header, nested));
        // Claims a byte string of almost 2^31 bytes.
        byte[] longBytes = {(byte) 0x83, DatagramEncoder.DIRECT_MESSAGE, 1, 0x5B, 0, 0, 0, 0, 0x7F, -1, -1, -1};
        assertDropped(DropCause.MALFORMED, MembershipTest.join(header, longBytes));
        assertDropped(
                DropCause.UNKNOWN_PART, MembershipTest.join(header, new byte[] {(byte) 0x82, 0x18, 99, 0x61, 'x'}));
        assertDropped(
                DropCause.CLOCK_OFF,
                MembershipTest.join(
                        header,
                        encoder.encode(new Message.EntryMessage(null, 0, 1, "k", 1, Long.MAX_VALUE, new byte[1]))));
        assertDropped(
                DropCause.EXPIRED,
                MembershipTest.join(
                        header,
                        encoder.encode(new Message.EntryMessage(null, 0, 1, "k", 1, Long.MIN_VALUE, new byte[1]))));
        assertDropped(
                DropCause.START_WENT_BACK,
                MembershipTest.join(new DatagramEncoder("test", "lb-001", NOW - 1).header(0)));
        assertEquals(0, gossip.metrics().get(Metric.ENTRIES));
    }

    @Test
    void fieldsAndMessagesOfALaterVersionAreSkipped() {
        DatagramEncoder encoder = new DatagramEncoder("test", "lb-001", NOW);
        byte[] extraField = {(byte) 0x84, DatagramEncoder.DIRECT_MESSAGE, 1, 0x41, 'x', (byte) 0x82, 1, 2};
        gossip.receive(
                NOW, MembershipTest.join(encoder.header(0), new byte[] {(byte) 0x82, 0x18, 99, 0x61, 'x'}, extraField));
        assertEquals(List.of("lb-001 1 x"), cluster.node(0).directMessages);
    }

    @Test
    void invalidClusterConfigsAreRejected() {
        Member member = new Member("a", "");
        assertThrows(IllegalArgumentException.class, () -> new ClusterConfig("c", "b", List.of(member)));
        assertThrows(IllegalArgumentException.class, () -> new ClusterConfig("c", "a", List.of(member, member)));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ClusterConfig("c", "a", List.of(member, new Member("x".repeat(65), ""))));
    }

    @Test
    void mutatedDatagramsCauseNothingButCountedDrops() {
        DatagramFuzzer.Result result = DatagramFuzzer.run(100_000, 32);
        long rejected = 0;
        for (DropCause cause : List.of(
                DropCause.TOO_LONG,
                DropCause.NOT_OURS,
                DropCause.CHECKSUM,
                DropCause.VERSION,
                DropCause.CLUSTER,
                DropCause.MALFORMED,
                DropCause.UNKNOWN_SENDER,
                DropCause.OWN_NAME,
                DropCause.CLOCK_OFF)) {
            assertTrue(result.dropped.get(cause) > 0, cause.name());
            rejected += result.dropped.get(cause);
        }
        assertTrue(rejected < 90_000, "at least 10% have to be accepted, to reach the code behind the checks");
        assertTrue(result.metrics.get(Metric.TAKEN) > 10 && result.metrics.get(Metric.DATAGRAMS_OUT) > 1_000);
        assertEquals(0, result.metrics.get(Metric.INVARIANTS_BROKEN));
        assertTrue(result.maxEntryBytes <= Limits.defaults().maxStoreBytes());
    }
}
