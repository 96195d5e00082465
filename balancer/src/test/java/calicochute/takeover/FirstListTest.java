package calicochute.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicochute.discovery.ServerList;
import calicochute.takeover.FirstList.Source;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a process that begins with the older one of two lists. */
class FirstListTest {
    private static ServerList list(long generation) {
        return new ServerList(generation, true, List.of(), Map.of());
    }

    /** Generation 0 stands for no list; the saved list is of epoch 2. */
    @ParameterizedTest
    @CsvSource({
        // saved, highest, known, same discovery, other process alive, expected source, its epoch and generation
        "0, 0, 0, true, false, NONE, 0, 0",
        "0, 0, 4, true, false, CONFIGURATION, 0, 4",
        "5, 5, 0, true, false, HANDED_OVER, 2, 5",
        "5, 5, 4, true, false, HANDED_OVER, 2, 5",
        "5, 5, 5, true, false, HANDED_OVER, 2, 5",
        "5, 5, 6, true, true, CONFIGURATION, 2, 6",
        // Discovery began anew after generation 41, which the configuration still has.
        "3, 41, 41, true, true, HANDED_OVER, 2, 3",
        "3, 41, 42, true, true, CONFIGURATION, 2, 42",
        // Discovery was moved.
        "5, 5, 9, false, true, HANDED_OVER, 2, 5",
        "5, 5, 9, false, false, CONFIGURATION, 3, 9",
        "5, 5, 4, false, false, HANDED_OVER, 2, 5"
    })
    void theNewerListIsChosen(
            long saved,
            long highest,
            long known,
            boolean sameDiscovery,
            boolean otherProcessAlive,
            Source source,
            long epoch,
            long generation) {
        FirstList first = FirstList.choose(
                saved == 0 ? null : new SavedServerList(new ListVersion(2, saved), highest, "a:1", 0, 17, list(saved)),
                known == 0 ? null : list(known),
                sameDiscovery ? "a:1" : "b:1",
                otherProcessAlive);
        assertEquals(source, first.source());
        assertEquals(new ListVersion(epoch, generation), first.version());
        assertEquals(generation, first.list().generation());
    }
}
