package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RoomTest {
    private static final int PROMISED = 100;

    /** Each lack frees some below what there are, one that follows at once none, and what passes comes back slowly. */
    @Test
    void aLackMakesRoomAndPasses() {
        Room room = new Room(PROMISED);
        assertEquals(PROMISED, room.at(0));
        assertTrue(room.lacks(0, 40));
        assertEquals(40 - Room.AT_ONCE, room.at(0));
        assertFalse(room.lacks(Room.SETTLE - 1, 40));
        assertEquals(40 - Room.AT_ONCE, room.at(Room.SETTLE));
        assertTrue(room.lacks(Room.SETTLE, 40 - Room.AT_ONCE));
        assertEquals(40 - 2 * Room.AT_ONCE, room.at(Room.SETTLE));
        assertEquals(40 - 2 * Room.AT_ONCE + 1, room.at(Room.SETTLE + Room.REGAIN));
        assertEquals(PROMISED, room.at(1000 * Room.REGAIN));
    }

    /**
     * Whatever comes when: never more than promised, never too few, and a lack that counts leaves less than there were.
     */
    @Property(seed = "4711")
    void itStaysBetween(@ForAll @Size(max = 100) List<@IntRange(min = 0, max = 300) Integer> steps) {
        Room room = new Room(PROMISED);
        long now = 0;
        for (int step : steps) {
            now += step * Room.SETTLE / 20;
            int connected = step % (PROMISED + 1);
            if (room.lacks(now, connected)) {
                assertTrue(room.at(now) <= Math.max(Room.FEWEST, connected - Room.AT_ONCE));
            }
            assertTrue(room.at(now) >= Room.FEWEST && room.at(now) <= PROMISED);
        }
    }

    /** Where little was promised a lack takes none of it. */
    @Test
    void aSmallPromiseStands() {
        Room room = new Room(Room.FEWEST);
        assertTrue(room.lacks(0, Room.FEWEST));
        assertEquals(Room.FEWEST, room.at(0));
    }
}
