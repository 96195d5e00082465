package calicochute.lab.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.network.Wire.Cause;
import calicochute.lab.network.Wire.Fate;
import calicochute.lab.random.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WireTest {
    private static final Conditions BAD = new Conditions(0.2, 1_000, 0.1, 0.1);

    private static Wire wire(Conditions usual) {
        return new Wire(4, usual, way -> new RandomStreams(7).of("network", way));
    }

    private static List<Fate> send(Wire wire, int from, int to, int many) {
        List<Fate> fates = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            fates.add(wire.send(i, from, to));
        }
        return fates;
    }

    private static Map<Cause, Integer> causes(List<Fate> fates) {
        Map<Cause, Integer> causes = new HashMap<>();
        fates.forEach(f -> causes.merge(f.cause(), 1, Integer::sum));
        return causes;
    }

    /** A way's datagrams fare alike whatever the other ways carry, and after a fault as if it had not been. */
    @Test
    void aWaysFatesDependOnNothingButItsOwnDatagrams() {
        List<Fate> alone = send(wire(BAD), 0, 1, 300);
        Wire busy = wire(BAD);
        List<Fate> mixed = new ArrayList<>();
        Fault cut = new Fault.Cut(Fault.of(0), Fault.of(1));
        for (int i = 0; i < 300; i++) {
            busy.send(i, 1, 0);
            if (i == 100) {
                busy.begin(cut);
            } else if (i == 200) {
                busy.end(cut);
            }
            mixed.add(busy.send(i, 0, 1));
        }
        assertEquals(alone.subList(0, 100), mixed.subList(0, 100));
        assertEquals(Map.of(Cause.CUT, 100), causes(mixed.subList(100, 200)));
        assertEquals(alone.subList(200, 300), mixed.subList(200, 300));
        assertTrue(!alone.equals(send(wire(BAD), 1, 0, 300)));
    }

    /** Of 10,000: lost 2,000 with a deviation of 40, twice a tenth of the rest with one of 27, and so held back. */
    @Test
    void partsAreWhatTheConditionsSay() {
        List<Fate> fates = send(wire(BAD), 2, 3, 10_000);
        Map<Cause, Integer> causes = causes(fates);
        assertEquals(2_000, causes.get(Cause.LOST), 160);
        assertEquals(800, causes.get(Cause.REPEATED), 110);
        assertEquals(720, causes.get(Cause.HELD), 110);
        for (int i = 0; i < fates.size(); i++) {
            Fate f = fates.get(i);
            int sent = i;
            assertEquals(
                    f.cause() == Cause.LOST ? 0 : f.cause() == Cause.REPEATED ? 2 : 1,
                    f.arrivals().size());
            f.arrivals()
                    .forEach(at -> assertTrue(
                            at >= sent + 1_000 && at <= sent + 1_000 + Wire.HELD_MOST + Wire.REPEATED_WITHIN));
            assertTrue(f.cause() != Cause.HELD || f.arrivals().get(0) >= sent + 1_000 + Wire.HELD_LEAST);
        }
    }

    @Test
    void faultsHitWhomTheyName() {
        Wire wire = wire(Conditions.CLEAN);
        assertEquals(List.of(5L), wire.send(5, 0, 1).arrivals());
        wire.begin(new Fault.Cut(Fault.of(0), Fault.of(1, 2)));
        assertEquals(Cause.CUT, wire.send(5, 0, 1).cause());
        assertEquals(Cause.CUT, wire.send(5, 0, 2).cause());
        assertEquals(Cause.PASSED, wire.send(5, 0, 3).cause());
        assertEquals(Cause.PASSED, wire.send(5, 1, 0).cause());
        wire.begin(new Fault.SlowPeer(Fault.of(3), 70));
        wire.begin(new Fault.Delay(Fault.of(0), 9));
        assertEquals(List.of(5L + 70 + 9), wire.send(5, 0, 3).arrivals());
        assertEquals(List.of(5L), wire.send(5, 3, 1).arrivals());
        wire.heal();
        wire.begin(new Fault.Split(Fault.of(0, 1)));
        for (int from = 0; from < 4; from++) {
            for (int to = 0; to < 4; to++) {
                assertEquals(from / 2 == to / 2, wire.send(5, from, to).cause() == Cause.PASSED);
            }
        }
        wire.heal();
        wire.begin(new Fault.Loss(Fault.of(2), 1));
        assertEquals(Cause.LOST, wire.send(5, 2, 0).cause());
        assertEquals(Cause.LOST, wire.send(5, 0, 2).cause());
        assertEquals(Cause.PASSED, wire.send(5, 0, 1).cause());
    }
}
