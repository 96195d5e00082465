package calicochute.outage;

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

class OverlayTest {
    /** One thing that may happen to a server: discovery's word, a whole list of it, or an operator's call. */
    record Step(String id, int what) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"), Arbitraries.integers().between(0, 5))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    /** Whatever came before: the module holds a server as ready only if discovery says so and no ban stands. */
    @Property
    void aBanHoldsUntilTheCallBack(@ForAll("steps") List<Step> steps) {
        Overlay overlay = new Overlay();
        Outages outages = Outages.NONE;
        Map<String, Backend> module = new HashMap<>();
        Map<String, Boolean> banned = new HashMap<>();
        Map<String, BackendState> word = new HashMap<>();
        long time = 0;
        for (Step step : steps) {
            time++;
            List<Backend> told;
            if (step.what < 3) {
                BackendState state = BackendState.values()[step.what];
                word.put(step.id, state);
                told = overlay.told(false, List.of(backend(step.id, state, time)));
            } else if (step.what == 3) {
                module.clear();
                word.clear();
                word.put(step.id, BackendState.READY);
                told = overlay.told(true, List.of(backend(step.id, BackendState.READY, time)));
            } else {
                banned.put(step.id, step.what == 4);
                outages = step.what == 4 ? outages.with(step.id, time) : outages.without(step.id);
                told = overlay.taken(outages);
            }
            told.forEach(e -> module.put(e.id(), e));
            word.forEach((id, state) -> {
                BackendState expected =
                        state == BackendState.READY && banned.getOrDefault(id, false) ? BackendState.DRAINING : state;
                assertEquals(expected, module.get(id).state());
            });
        }
    }

    private static Backend backend(String id, BackendState state, long startedAt) {
        return new Backend(id, "z", 0, 1, state, startedAt, "k");
    }

    @Property
    void textIsReadAsItWasWritten(@ForAll Map<String, Long> since) {
        Outages outages = new Outages(new TreeMap<>(since));
        assertEquals(outages, Outages.parse(outages.text("n0", 1), "n0", 1));
    }

    /** A file torn anywhere is no file, rather than one with fewer bans. */
    @Property
    void whatIsTornIsRefused(@ForAll("steps") List<Step> steps, @ForAll double part) {
        Outages outages = Outages.NONE;
        for (Step step : steps) {
            outages = outages.with(step.id, step.what);
        }
        String text = outages.text("n0", 1).trim();
        int cut = (int) Math.min(text.length() - 1, Math.abs(part) % 1 * text.length());
        assertNull(Outages.parse(text.substring(0, cut), "n0", 1));
        assertNull(Outages.parse("{\"version\":2,\"out\":[]}", "n0", 1));
        assertTrue(Outages.parse(text, "n0", 1).equals(outages));
    }
}
