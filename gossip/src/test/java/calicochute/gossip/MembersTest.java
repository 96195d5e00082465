package calicochute.gossip;

import static calicochute.gossip.Fleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.gossip.Counts.What;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MembersTest {
    private static Fleet together(int many, long seed) {
        Fleet fleet = new Fleet(many, seed);
        assertTrue(fleet.until(10 * SECOND, () -> fleet.allSee(fleet.there())) >= 0, "all see all");
        return fleet;
    }

    @Test
    void theSilentAreDroppedInThreeSecondsAndNobodyElseIs() {
        Fleet fleet = new Fleet(300, 11);
        fleet.loss = 0.1;
        assertTrue(fleet.until(10 * SECOND, () -> fleet.allSee(fleet.there())) >= 0);
        for (int i = 0; i < 5; i++) {
            fleet.node(i * 31).up = false;
        }
        Set<String> left = fleet.there();
        long took = fleet.until(10 * SECOND, () -> fleet.allSee(left));
        assertTrue(took >= 0 && took <= 3 * SECOND, "took " + took);
        fleet.run(fleet.tick);
        fleet.up().forEach(node -> assertEquals(left, node.members, "as told"));
        Fleet.Node again = fleet.start(fleet.node(31).id);
        took = fleet.until(5 * SECOND, () -> fleet.allSee(fleet.there()));
        assertTrue(took >= 0 && took <= 3 * SECOND, "back in " + took);
        fleet.run(fleet.tick);
        assertTrue(again.members.contains("lb-000") == false && again.members.size() == 296);
    }

    @Test
    void oneThatStoodStillComesBackWithItsOldStart() {
        Fleet fleet = together(5, 2);
        Fleet.Node node = fleet.node(3);
        fleet.pause(node, 10 * SECOND);
        fleet.run(4 * SECOND);
        assertTrue(fleet.allSee(fleet.there()), "dropped");
        fleet.run(6 * SECOND);
        assertTrue(fleet.until(3 * SECOND, () -> node.up && fleet.allSee(fleet.there())) >= 0, "taken back");
        assertEquals(
                node.start,
                fleet.node(0).gossip.presences().stream()
                        .filter(p -> p.id().equals(node.id))
                        .findAny()
                        .orElseThrow()
                        .start());
        assertTrue(node.gossip.counts().get(What.OBJECTIONS) > 0);
    }

    @Test
    void oneWayCutsDropNobodyWhileOthersCanHelp() {
        Fleet fleet = together(6, 3);
        fleet.cut = (from, to) ->
                from.equals("lb-001") && to.equals("lb-002") || from.equals("lb-003") && to.equals("lb-000");
        fleet.run(60 * SECOND);
        assertEquals(0, fleet.sum(What.DROPS));
    }

    @Test
    void lateDatagramsBringNoGhost() {
        Fleet fleet = together(5, 4);
        List<byte[]> kept = new ArrayList<>();
        Fleet.Node dead = fleet.node(4);
        // what the process itself sends for three seconds, kept on the way
        Gossip twinless = new Gossip(
                new Group("test", dead.id, fleet.list),
                dead.start,
                fleet.limits,
                5,
                (to, bytes) -> kept.add(bytes),
                dead);
        for (int i = 0; i < 30; i++) {
            twinless.tick(fleet.now + i * 100_000);
        }
        dead.up = false;
        fleet.run(5 * SECOND);
        Set<String> left = fleet.there();
        assertTrue(fleet.allSee(left));
        fleet.node(0).up = false;
        Fleet.Node young = fleet.start("lb-000");
        fleet.run(3 * SECOND); // time to hear of the dead
        assertTrue(kept.size() > 5);
        for (byte[] datagram : kept) {
            for (String to : left) {
                fleet.arrive(to, datagram);
                assertFalse(fleet.nodes.get(to).gossip.live().contains(dead.id), "a ghost at " + to);
            }
            fleet.run(SECOND);
        }
        assertTrue(fleet.allSee(left));
        assertEquals(left, young.members);
    }

    @Test
    void twoProcessesOfOneNameAreTold() {
        Fleet fleet = together(4, 5);
        Fleet.Node one = fleet.node(2);
        Fleet.Node other = fleet.start(one.id); // one goes on
        fleet.run(10 * SECOND);
        assertTrue(one.up && other.up);
        assertTrue(fleet.node(0).twins.contains(one.id), "told at another");
        assertTrue(fleet.node(0).gossip.counts().get(What.TWINS) == 1, "once a minute");
        assertEquals(fleet.there(), fleet.node(0).members);
        fleet.node(1).up = false;
        Fleet.Node restarted = fleet.start("lb-001");
        fleet.run(10 * SECOND);
        assertFalse(fleet.node(0).twins.contains(restarted.id), "a restart is none");
    }

    @Test
    void onlyTheListDecidesWhoBelongs() throws Exception {
        Fleet fleet = together(3, 6);
        Gossip gossip = fleet.node(0).gossip;
        Codec codec = new Codec("test", "lb-001", fleet.node(1).start);
        gossip.received(
                fleet.now, join(codec.header(0), codec.part(new Part.Rumour("lb-999", fleet.now, 0, State.ALIVE))));
        assertEquals(1, gossip.counts().dropped(Cause.UNKNOWN_MEMBER));
        Codec stranger = new Codec("test", "lb-999", fleet.now);
        gossip.received(fleet.now, join(stranger.header(0)));
        assertEquals(1, gossip.counts().dropped(Cause.UNKNOWN_SENDER));
        assertEquals(fleet.there(), gossip.live());
        gossip.members(fleet.now, fleet.list.subList(0, 2));
        assertEquals(Set.of("lb-000", "lb-001"), fleet.node(0).members);
        fleet.run(3 * SECOND);
        assertEquals(Set.of("lb-000", "lb-001"), gossip.live());
    }

    @Test
    void aSplitHealsInFiveSeconds() {
        Fleet fleet = together(40, 7);
        fleet.loss = 0.02;
        fleet.cut = (from, to) -> (from.compareTo("lb-015") < 0) != (to.compareTo("lb-015") < 0);
        for (int second = 0; second < 20; second++) {
            for (int key = 0; key < 20; key++) {
                fleet.node((key * 2 + second) % 40)
                        .spread("row-" + key + "-" + (second + key) % 2, second, fleet.now + 60 * SECOND);
            }
            fleet.run(SECOND);
        }
        assertEquals(15, fleet.node(3).members.size());
        assertEquals(25, fleet.node(30).members.size());
        assertFalse(fleet.sameEntries());
        fleet.cut = (from, to) -> false;
        long took = fleet.until(10 * SECOND, () -> fleet.allSee(fleet.there()) && fleet.sameEntries());
        assertTrue(took >= 0 && took <= 5 * SECOND, "took " + took);
    }

    static byte[] join(byte[]... parts) {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return Codec.sealed(all);
    }
}
