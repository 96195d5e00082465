package calicochute.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.Counts.What;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class BoundsTest {
    private static final long NOW = Fleet.BEGIN;
    private final Fleet fleet = new Fleet(3, 31);
    private final Gossip gossip = fleet.node(0).gossip;

    private void dropped(Cause cause, byte[] datagram) {
        long before = gossip.counts().dropped(cause);
        long all = gossip.counts().dropped();
        gossip.received(NOW, datagram);
        assertEquals(before + 1, gossip.counts().dropped(cause), cause.name());
        assertEquals(all + 1, gossip.counts().dropped(), "once");
    }

    @Test
    void everythingForeignIsDroppedAndCountedByCause() {
        Codec codec = new Codec("test", "lb-001", NOW);
        byte[] header = codec.header(0);
        dropped(Cause.TOO_LONG, new byte[1_201]);
        dropped(Cause.NOT_OURS, new byte[0]);
        dropped(Cause.NOT_OURS, "GET / HTTP/1.1".getBytes());
        dropped(Cause.CLUSTER, MembersTest.join(new Codec("another", "lb-001", NOW).header(0)));
        dropped(Cause.UNKNOWN_SENDER, MembersTest.join(new Codec("test", "lb-003", NOW).header(0)));
        dropped(Cause.OWN_NAME, MembersTest.join(new Codec("test", "lb-000", NOW).header(0)));
        dropped(Cause.CLOCK_OFF, MembersTest.join(new Codec("test", "lb-001", NOW + 6_000_000).header(0)));
        dropped(Cause.MALFORMED, MembersTest.join(Arrays.copyOf(header, header.length - 1)));
        byte[] changed = MembersTest.join(header);
        changed[12] ^= 1;
        dropped(Cause.CHECKSUM, changed);
        byte[] version = header.clone();
        version[4] = 2;
        dropped(Cause.VERSION, MembersTest.join(version));
        dropped(Cause.MALFORMED, MembersTest.join(header, new byte[] {0x01}));
        byte[] nested = new byte[1_000];
        Arrays.fill(nested, (byte) 0x81);
        dropped(Cause.MALFORMED, MembersTest.join(header, nested));
        byte[] huge = {(byte) 0x83, Codec.DIRECT, 1, 0x5B, 0, 0, 0, 0, 0x7F, -1, -1, -1}; // bytes of a length of 2^31
        dropped(Cause.MALFORMED, MembersTest.join(header, huge));
        dropped(Cause.UNKNOWN_PART, MembersTest.join(header, new byte[] {(byte) 0x82, 0x18, 99, 0x61, 'x'}));
        dropped(
                Cause.CLOCK_OFF,
                MembersTest.join(header, codec.part(new Part.Spread(null, 0, 1, "k", 1, Long.MAX_VALUE, new byte[1]))));
        dropped(
                Cause.EXPIRED,
                MembersTest.join(header, codec.part(new Part.Spread(null, 0, 1, "k", 1, Long.MIN_VALUE, new byte[1]))));
        dropped(Cause.START_WENT_BACK, MembersTest.join(new Codec("test", "lb-001", NOW - 1).header(0)));
        assertEquals(0, gossip.counts().get(What.ENTRIES));
    }

    @Test
    void fieldsAndPartsOfALaterVersionArePassedOver() {
        Codec codec = new Codec("test", "lb-001", NOW);
        byte[] later = {(byte) 0x84, Codec.DIRECT, 1, 0x41, 'x', (byte) 0x82, 1, 2};
        gossip.received(NOW, MembersTest.join(codec.header(0), new byte[] {(byte) 0x82, 0x18, 99, 0x61, 'x'}, later));
        assertEquals(List.of("lb-001 1 x"), fleet.node(0).directs);
    }

    @Test
    void groupsAreChecked() {
        Member one = new Member("a", "");
        assertThrows(IllegalArgumentException.class, () -> new Group("c", "b", List.of(one)));
        assertThrows(IllegalArgumentException.class, () -> new Group("c", "a", List.of(one, one)));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Group("c", "a", List.of(one, new Member("x".repeat(65), ""))));
    }

    @Test
    void mutatedDatagramsAreNeverMoreThanACountedDrop() {
        Fuzz.Result result = Fuzz.run(100_000, 32);
        long unread = 0;
        for (Cause cause : List.of(
                Cause.TOO_LONG,
                Cause.NOT_OURS,
                Cause.CHECKSUM,
                Cause.VERSION,
                Cause.CLUSTER,
                Cause.MALFORMED,
                Cause.UNKNOWN_SENDER,
                Cause.OWN_NAME,
                Cause.CLOCK_OFF)) {
            assertTrue(result.dropped.get(cause) > 0, cause.name());
            unread += result.dropped.get(cause);
        }
        assertTrue(unread < 90_000, "many have to get through");
        assertTrue(result.happened.get(What.TAKEN) > 10 && result.happened.get(What.DATAGRAMS_OUT) > 1_000);
        assertEquals(0, result.happened.get(What.INVARIANTS_BROKEN));
        assertTrue(result.mostBytes <= Limits.usual().storeBytes());
    }
}
