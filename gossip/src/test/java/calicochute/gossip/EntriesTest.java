package calicochute.gossip;

import static calicochute.gossip.Fleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.Counts.What;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EntriesTest {
    private static final long NOW = Fleet.BEGIN;

    @Test
    void reachesNearlyAllOfThreeHundredInASecondWithinTheBytes() {
        Fleet fleet = new Fleet(300, 21);
        fleet.loss = 0.1;
        assertTrue(fleet.until(10 * SECOND, () -> fleet.allSee(fleet.there())) >= 0);
        long bytes = fleet.sum(What.BYTES_IN)
                + fleet.sum(What.BYTES_OUT)
                + 28 * (fleet.sum(What.DATAGRAMS_IN) + fleet.sum(What.DATAGRAMS_OUT));
        long begin = fleet.now;
        for (int row = 0; row < 180; row++) { // what a window of two seconds brings
            fleet.node(fleet.random.nextInt(300))
                    .spread("server-" + row + "-of-the-lane-with-a-name", 1, begin + 20 * SECOND);
        }
        fleet.run(SECOND);
        long heard = fleet.up().mapToLong(node -> node.versions.size()).sum();
        assertTrue(heard >= 0.95 * 300 * 180, "heard by " + heard / 180.0);
        fleet.run(SECOND);
        bytes = fleet.sum(What.BYTES_IN)
                + fleet.sum(What.BYTES_OUT)
                + 28 * (fleet.sum(What.DATAGRAMS_IN) + fleet.sum(What.DATAGRAMS_OUT))
                - bytes;
        assertTrue(bytes / 300 / 2 <= 64_000, "bytes a second " + bytes / 300 / 2);
        assertEquals(0, fleet.sum(What.DROPS));
    }

    @Test
    void goesRoundCutsBetweenPairs() {
        Fleet fleet = new Fleet(5, 22);
        fleet.run(3 * SECOND);
        fleet.cut = (from, to) ->
                Set.of(from, to).equals(Set.of("lb-000", "lb-001")) || from.equals("lb-000") && to.equals("lb-002");
        fleet.node(0).spread("key", 7, fleet.now + 60 * SECOND);
        assertTrue(fleet.until(
                        3 * SECOND, () -> fleet.up().allMatch(node -> node.versions.getOrDefault("key", 0L) == 7))
                >= 0);
    }

    @Test
    void aNewProcessGetsAllThatIsKept() {
        Fleet fleet = new Fleet(4, 23);
        fleet.run(3 * SECOND);
        for (int key = 0; key < 600; key++) {
            fleet.node(key % 4).spread("a key with a number " + key, key, fleet.now + 100 * SECOND);
            fleet.run(10_000);
        }
        fleet.node(1).up = false;
        Fleet.Node young = fleet.start("lb-001");
        long took = fleet.until(20 * SECOND, () -> young.versions.size() == 600);
        assertTrue(took >= 0 && took < 10 * SECOND, "took " + took + ", has " + young.versions.size());
    }

    @Test
    void isGoneEverywhereAfterItsTimeAndNoOlderOneComesBack() {
        Fleet fleet = new Fleet(3, 24);
        fleet.run(3 * SECOND);
        Fleet.Node author = fleet.node(0);
        author.spread("key", 5, fleet.now + 3 * SECOND);
        fleet.run(2 * SECOND);
        fleet.up().forEach(node -> assertEquals(1, node.gossip.counts().get(What.ENTRIES)));
        fleet.run(2 * SECOND);
        fleet.up().forEach(node -> assertEquals(0, node.gossip.counts().get(What.ENTRIES)));
        Codec codec = new Codec("test", "lb-000", author.start);
        byte[] late = MembersTest.join(
                codec.header(0),
                codec.part(new Part.Spread(null, 0, 1, "key", 4, fleet.now + 60 * SECOND, new byte[3])));
        fleet.arrive("lb-001", late);
        assertEquals(1, fleet.node(1).gossip.counts().dropped(Cause.OLD_VERSION));
        assertEquals(5, fleet.node(1).versions.get("key"));
        assertFalse(author.gossip.spread(fleet.now, 1, "key", 5, new byte[1], fleet.now + SECOND));
        assertTrue(author.gossip.spread(fleet.now, 1, "key", 6, new byte[1], fleet.now + SECOND));
        assertFalse(author.gossip.spread(fleet.now, 1, "other", 6, new byte[1], fleet.now), "past already");
    }

    @Test
    void theLargestEntryOfTheLongestNamesFitsADatagram() throws Exception {
        String me = "a".repeat(Group.LONGEST_ID);
        Codec codec = new Codec("test", me, Long.MAX_VALUE);
        String key = "k".repeat(Limits.KEY);
        Part.Spread entry = new Part.Spread(
                "b".repeat(Group.LONGEST_ID),
                Long.MAX_VALUE,
                255,
                key,
                Long.MIN_VALUE,
                Long.MAX_VALUE,
                new byte[1_000 - Limits.KEY]);
        byte[] header = codec.header(Reader.HIGHEST_INCARNATION);
        byte[] part = codec.part(entry);
        assertTrue(
                header.length + part.length + Codec.CHECKSUM <= Limits.DATAGRAM,
                "bytes " + (header.length + part.length));
        Part.Spread read = (Part.Spread)
                new Reader("test").read(MembersTest.join(header, part)).parts().get(0);
        assertEquals(key, read.key());
        assertTrue(header.length + codec.part(new Part.Direct(255, new byte[1_000])).length + Codec.CHECKSUM
                <= Limits.DATAGRAM);
    }

    @Test
    void nobodyDrivesOutOneWhoKeepsToHisShare() {
        Limits usual = Limits.usual();
        Limits small = new Limits(
                usual.probeEvery(),
                usual.again(),
                usual.unanswered(),
                usual.suspected(),
                usual.digestEvery(),
                usual.ripe(),
                usual.entryBytes(),
                40_000,
                100,
                usual.longestKept(),
                usual.clockAhead(),
                usual.repairRate(),
                usual.peersATick());
        Counts counts = new Counts();
        SpreadStore store = new SpreadStore(small, counts, 4);
        for (int i = 0; i < 12; i++) {
            store.take(NOW, 0, "modest", entry("m" + i, 100));
        }
        for (int i = 0; i < 1_000; i++) {
            store.take(NOW, 0, "greedy", entry("g" + i, 900));
            store.take(NOW, 0, "greedy too", entry("h" + i, i % 900));
        }
        for (int i = 0; i < 12; i++) {
            assertTrue(store.get(SpreadStore.hash(1, "m" + i)) != null, "kept " + i);
            assertTrue(store.take(NOW, 0, "late", entry("l" + i, 100)) != null, "has its share too");
        }
        assertTrue(counts.get(What.ENTRY_BYTES) <= 40_000 && counts.get(What.ENTRIES) <= 100);
        assertTrue(counts.dropped(Cause.QUOTA) > 1_000);
        assertNull(store.take(NOW, 0, "modest", entry("m0", 100)), "no news");
    }

    private static Part.Spread entry(String key, int body) {
        return new Part.Spread("x", 1, 1, key, 1, NOW + SECOND, new byte[body]);
    }

    @Test
    void directMessagesOfATickShareADatagram() {
        Fleet fleet = new Fleet(2, 25);
        fleet.run(3 * SECOND);
        List<String> sent = new ArrayList<>();
        long before = fleet.sum(What.DATAGRAMS_OUT);
        for (int i = 0; i < 20; i++) {
            assertTrue(fleet.node(0).gossip.direct(fleet.now, "lb-001", 3, ("report " + i).getBytes()));
            sent.add("lb-000 3 report " + i);
        }
        fleet.run(110_000);
        assertEquals(sent, fleet.node(1).directs);
        assertTrue(fleet.sum(What.DATAGRAMS_OUT) - before <= 8);
        assertFalse(fleet.node(0).gossip.direct(fleet.now, "lb-001", 3, new byte[1_001]));
        assertFalse(fleet.node(0).gossip.direct(fleet.now, "nobody", 3, new byte[1]));
    }
}
