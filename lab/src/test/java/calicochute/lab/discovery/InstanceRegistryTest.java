package calicochute.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.discovery.InstanceRegistry.Instance;
import calicochute.lab.discovery.InstanceRegistry.ListUpdate;
import calicochute.lab.discovery.InstanceRegistry.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class InstanceRegistryTest {
    private static Instance instance(int id, State state, long at) {
        return new Instance("s" + id, "z", "k", 0, 1, state, at);
    }

    /** However rarely a caller asks, the changes it receives turn its list into that of the registry. */
    @Property(tries = 300)
    void changesAddUpToTheCompleteList(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 59) Integer> steps) {
        InstanceRegistry registry = new InstanceRegistry();
        Map<String, Instance> caller = new HashMap<>();
        long known = 0;
        for (int i = 0; i < steps.size(); i++) {
            int step = steps.get(i);
            registry.put(instance(step % 5, State.values()[step / 5 % 3], i));
            if (step >= 30) {
                ListUpdate update = registry.changesSince(known);
                if (update.complete()) {
                    caller.clear();
                }
                update.instances().forEach(e -> caller.put(e.id(), e));
                caller.values().removeIf(e -> e.state() == State.GONE);
                known = update.version();
                Map<String, Instance> expected = new HashMap<>();
                registry.completeList().instances().forEach(e -> expected.put(e.id(), e));
                assertEquals(expected, caller);
            }
        }
    }

    @Test
    void anUnknownVersionGetsTheCompleteList() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.put(instance(1, State.READY, 0));
        assertTrue(registry.changesSince(99).complete());
        assertTrue(registry.changesSince(0).complete());
        assertEquals(List.of(), registry.changesSince(registry.version()).instances());
    }

    @Test
    void callsAreHandledInOrderAndFailWhenTheyWaitTooLong() {
        CallQueue queue = new CallQueue(10, 50, 300_000);
        assertEquals(200_000, queue.call(0, 50));
        assertEquals(300_000, queue.call(0, 0));
        assertEquals(400_000, queue.call(0, 0));
        assertEquals(CallQueue.FAILED, queue.call(0, 0));
        assertEquals(600_000, queue.call(500_000, 0));
    }
}
