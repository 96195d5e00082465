package calicochute.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.discovery.Directory.Entry;
import calicochute.lab.discovery.Directory.Page;
import calicochute.lab.discovery.Directory.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DirectoryTest {
    private static Entry entry(int id, State state, long at) {
        return new Entry("s" + id, "z", "k", 0, 1, state, at);
    }

    /** However seldom a caller asks, the changes it is told make its list the one that discovery holds. */
    @Property(tries = 300)
    void changesAddUpToTheWhole(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 59) Integer> steps) {
        Directory directory = new Directory();
        Map<String, Entry> caller = new HashMap<>();
        long known = 0;
        for (int i = 0; i < steps.size(); i++) {
            int step = steps.get(i);
            directory.set(entry(step % 5, State.values()[step / 5 % 3], i));
            if (step >= 30) {
                Page page = directory.since(known);
                if (page.whole()) {
                    caller.clear();
                }
                page.entries().forEach(e -> caller.put(e.id(), e));
                caller.values().removeIf(e -> e.state() == State.GONE);
                known = page.version();
                Map<String, Entry> held = new HashMap<>();
                directory.whole().entries().forEach(e -> held.put(e.id(), e));
                assertEquals(held, caller);
            }
        }
    }

    @Test
    void aVersionFromElsewhereGetsTheWholeList() {
        Directory directory = new Directory();
        directory.set(entry(1, State.READY, 0));
        assertTrue(directory.since(99).whole());
        assertTrue(directory.since(0).whole());
        assertEquals(List.of(), directory.since(directory.version()).entries());
    }

    @Test
    void callsAreHandledInTurnAndFailWhenTheyWaitTooLong() {
        CallQueue queue = new CallQueue(10, 50, 300_000);
        assertEquals(200_000, queue.call(0, 50));
        assertEquals(300_000, queue.call(0, 0));
        assertEquals(400_000, queue.call(0, 0));
        assertEquals(CallQueue.FAILED, queue.call(0, 0));
        assertEquals(600_000, queue.call(500_000, 0));
    }
}
