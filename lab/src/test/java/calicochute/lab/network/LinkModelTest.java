package calicochute.lab.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.network.LinkModel.Delivery;
import calicochute.lab.network.LinkModel.DeliveryKind;
import calicochute.lab.random.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LinkModelTest {
    private static final Conditions POOR_CONDITIONS = new Conditions(0.2, 1_000, 0.1, 0.1);

    private static LinkModel linkModel(Conditions conditions) {
        return new LinkModel(4, conditions, link -> new RandomStreams(7).of("network", link));
    }

    private static List<Delivery> send(LinkModel linkModel, int from, int to, int count) {
        List<Delivery> deliveries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            deliveries.add(linkModel.send(i, from, to));
        }
        return deliveries;
    }

    private static Map<DeliveryKind, Integer> kinds(List<Delivery> deliveries) {
        Map<DeliveryKind, Integer> kinds = new HashMap<>();
        deliveries.forEach(delivery -> kinds.merge(delivery.kind(), 1, Integer::sum));
        return kinds;
    }

    /** Traffic on other links and faults that have ended do not change how a link's datagrams are treated. */
    @Test
    void aLinksDeliveriesDependOnlyOnItsOwnDatagrams() {
        List<Delivery> alone = send(linkModel(POOR_CONDITIONS), 0, 1, 300);
        LinkModel busy = linkModel(POOR_CONDITIONS);
        List<Delivery> mixed = new ArrayList<>();
        Fault cut = new Fault.Cut(Fault.setOf(0), Fault.setOf(1));
        for (int i = 0; i < 300; i++) {
            busy.send(i, 1, 0);
            if (i == 100) {
                busy.beginFault(cut);
            } else if (i == 200) {
                busy.endFault(cut);
            }
            mixed.add(busy.send(i, 0, 1));
        }
        assertEquals(alone.subList(0, 100), mixed.subList(0, 100));
        assertEquals(Map.of(DeliveryKind.CUT, 100), kinds(mixed.subList(100, 200)));
        assertEquals(alone.subList(200, 300), mixed.subList(200, 300));
        assertTrue(!alone.equals(send(linkModel(POOR_CONDITIONS), 1, 0, 300)));
    }

    /**
     * Expected of 10,000 datagrams: 2,000 lost (standard deviation 40), a tenth of the other 8,000 repeated (27), and a
     * tenth of the remaining 7,200 held back (26).
     */
    @Test
    void sharesMatchTheConditions() {
        List<Delivery> deliveries = send(linkModel(POOR_CONDITIONS), 2, 3, 10_000);
        Map<DeliveryKind, Integer> kinds = kinds(deliveries);
        assertEquals(2_000, kinds.get(DeliveryKind.LOST), 160);
        assertEquals(800, kinds.get(DeliveryKind.REPEATED), 110);
        assertEquals(720, kinds.get(DeliveryKind.HELD), 110);
        for (int i = 0; i < deliveries.size(); i++) {
            Delivery delivery = deliveries.get(i);
            int sent = i;
            assertEquals(
                    delivery.kind() == DeliveryKind.LOST ? 0 : delivery.kind() == DeliveryKind.REPEATED ? 2 : 1,
                    delivery.arrivals().size());
            delivery.arrivals()
                    .forEach(at -> assertTrue(at >= sent + 1_000
                            && at <= sent + 1_000 + LinkModel.MAX_HOLD_MICROS + LinkModel.MAX_REPEAT_DELAY_MICROS));
            assertTrue(delivery.kind() != DeliveryKind.HELD
                    || delivery.arrivals().get(0) >= sent + 1_000 + LinkModel.MIN_HOLD_MICROS);
        }
    }

    @Test
    void faultsAffectTheBalancersThatTheyName() {
        LinkModel linkModel = linkModel(Conditions.CLEAN);
        assertEquals(List.of(5L), linkModel.send(5, 0, 1).arrivals());
        linkModel.beginFault(new Fault.Cut(Fault.setOf(0), Fault.setOf(1, 2)));
        assertEquals(DeliveryKind.CUT, linkModel.send(5, 0, 1).kind());
        assertEquals(DeliveryKind.CUT, linkModel.send(5, 0, 2).kind());
        assertEquals(DeliveryKind.PASSED, linkModel.send(5, 0, 3).kind());
        assertEquals(DeliveryKind.PASSED, linkModel.send(5, 1, 0).kind());
        linkModel.beginFault(new Fault.SlowPeer(Fault.setOf(3), 70));
        linkModel.beginFault(new Fault.Delay(Fault.setOf(0), 9));
        assertEquals(List.of(5L + 70 + 9), linkModel.send(5, 0, 3).arrivals());
        assertEquals(List.of(5L), linkModel.send(5, 3, 1).arrivals());
        linkModel.endAllFaults();
        linkModel.beginFault(new Fault.Split(Fault.setOf(0, 1)));
        for (int from = 0; from < 4; from++) {
            for (int to = 0; to < 4; to++) {
                assertEquals(from / 2 == to / 2, linkModel.send(5, from, to).kind() == DeliveryKind.PASSED);
            }
        }
        linkModel.endAllFaults();
        linkModel.beginFault(new Fault.Loss(Fault.setOf(2), 1));
        assertEquals(DeliveryKind.LOST, linkModel.send(5, 2, 0).kind());
        assertEquals(DeliveryKind.LOST, linkModel.send(5, 0, 2).kind());
        assertEquals(DeliveryKind.PASSED, linkModel.send(5, 0, 1).kind());
    }
}
