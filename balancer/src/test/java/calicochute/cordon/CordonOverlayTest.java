package calicochute.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Random sequences of discovery lists and cordons against a model, and the cordons' text as written and read. */
class CordonOverlayTest {
    /**
     * One event.
     *
     * @param id of the server that it concerns
     * @param kind 0 to 2: a change in discovery's list, to the backend state of that ordinal; 3: a full list of this
     *     server alone; 4: a cordon; 5: an uncordon
     */
    record Step(String id, int kind) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"), Arbitraries.integers().between(0, 5))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    /**
     * After any sequence of events the decision module sees a server as ready only if discovery does and the server is
     * not cordoned.
     */
    @Property
    void cordonHoldsUntilUncordoned(@ForAll("steps") List<Step> steps) {
        CordonOverlay overlay = new CordonOverlay();
        Cordons cordons = Cordons.NONE;
        Map<String, Backend> seenByModule = new HashMap<>();
        Map<String, Boolean> cordoned = new HashMap<>();
        Map<String, BackendState> discovered = new HashMap<>();
        long time = 0;
        for (Step step : steps) {
            time++;
            List<Backend> reported;
            if (step.kind < 3) {
                BackendState state = BackendState.values()[step.kind];
                discovered.put(step.id, state);
                reported = overlay.applyDiscovery(false, List.of(backend(step.id, state, time)));
            } else if (step.kind == 3) {
                seenByModule.clear();
                discovered.clear();
                discovered.put(step.id, BackendState.READY);
                reported = overlay.applyDiscovery(true, List.of(backend(step.id, BackendState.READY, time)));
            } else {
                cordoned.put(step.id, step.kind == 4);
                cordons = step.kind == 4 ? cordons.with(step.id, time) : cordons.without(step.id);
                reported = overlay.applyCordons(cordons);
            }
            reported.forEach(backend -> seenByModule.put(backend.id(), backend));
            discovered.forEach((id, state) -> {
                BackendState expected =
                        state == BackendState.READY && cordoned.getOrDefault(id, false) ? BackendState.DRAINING : state;
                assertEquals(expected, seenByModule.get(id).state());
            });
        }
    }

    private static Backend backend(String id, BackendState state, long startedAt) {
        return new Backend(id, "z", 0, 1, state, startedAt, "k");
    }

    @Property
    void textIsReadAsWritten(@ForAll Map<String, Long> since) {
        Cordons cordons = new Cordons(new TreeMap<>(since));
        assertEquals(cordons, Cordons.parse(cordons.toJson("n0", 1), "n0", 1));
    }

    /** A file truncated at any byte is rejected, and not read as one with fewer cordons. */
    @Property
    void truncatedTextIsRejected(@ForAll("steps") List<Step> steps, @ForAll double fraction) {
        Cordons cordons = Cordons.NONE;
        for (Step step : steps) {
            cordons = cordons.with(step.id, step.kind);
        }
        String text = cordons.toJson("n0", 1).trim();
        int length = (int) Math.min(text.length() - 1, Math.abs(fraction) % 1 * text.length());
        assertNull(Cordons.parse(text.substring(0, length), "n0", 1));
        assertNull(Cordons.parse("{\"version\":2,\"out\":[]}", "n0", 1));
        assertTrue(Cordons.parse(text, "n0", 1).equals(cordons));
    }
}
