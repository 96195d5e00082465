package calicochute.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WatchClockTest {
    private static final long SECOND = 1_000_000;
    /** For a new connection and its first answer, once a silent watch has been found. */
    private static final long ROOM = 800_000;

    /** At each millisecond of each call, and of any drawn: found, and the next connection begun, with room before it is told. */
    @Test
    void silenceIsFoundInTimeAtEveryPoint() {
        for (int seed = 0; seed < 2000; seed++) {
            WatchClock clock = new WatchClock(seed, 5 * SECOND);
            for (boolean opening : new boolean[] {true, false}) {
                WatchClock.Call call = clock.call(opening);
                long again = call.limit() + clock.silent();
                clock.answered(true, call, call.waitMs() * 1000);
                assertTrue(call.limit() >= call.waitMs() * 1000 + SECOND, "no call that may wait counts as silent: " + call);
                assertTrue(WatchClock.CONNECT < call.limit(), "what never comes up is no silence");
                for (long silentAt = 0; silentAt <= call.limit(); silentAt += 1000) {
                    assertTrue(again + ROOM <= silentAt + WatchClock.TOLD, call + " silent at " + silentAt);
                }
            }
        }
    }

    /** One silence is followed by a new watch at once; a second without an answer between them is a failure. */
    @Test
    void aReopeningThatFailsIsTold() {
        WatchClock clock = new WatchClock(7, 5 * SECOND);
        for (int i = 0; i < 50; i++) {
            long pause = clock.silent();
            assertTrue(pause >= 0 && pause <= WatchClock.REOPEN_WITHIN, "at once: " + pause);
            assertTrue(clock.silent() < 0);
            if (i % 2 == 0) {
                clock.answered(false, clock.call(true), 1);
            } else {
                clock.failed(0);
            }
        }
    }

    /** Pauses grow with failures up to the bound and end with an answer or a move; no two balancers share theirs. */
    @Test
    void aDiscoveryThatIsDownIsNotStormed() {
        for (long longest : new long[] {0, 50_000, 500_000, 5 * SECOND}) {
            Set<Long> drawn = new HashSet<>();
            double late = 0;
            for (int seed = 0; seed < 200; seed++) {
                WatchClock clock = new WatchClock(seed, longest);
                for (int failure = 0; failure < 100; failure++) {
                    long now = failure * SECOND;
                    clock.failed(now);
                    long pause = clock.pause(now);
                    assertTrue(pause >= WatchClock.LEAST_PAUSE && pause <= Math.max(WatchClock.LEAST_PAUSE, longest), "" + pause);
                    assertEquals(0, clock.pause(now + pause));
                    late += failure >= 50 ? pause : 0;
                }
                drawn.add(clock.pause(0));
                assertTrue(clock.moved() <= WatchClock.MOVE_WITHIN);
                assertEquals(0, clock.pause(0));
            }
            assertTrue(late / 10_000 >= longest * 0.4, "the mean of many grows to near half of the longest");
            assertTrue(longest < SECOND || drawn.size() > 190);
        }
    }

    /** An answer that tells nothing and did not wait is not followed at once; any other is, lest the watch be a new one. */
    @Test
    void answersThatDoNotWaitMakeNoLoop() {
        WatchClock clock = new WatchClock(1, SECOND);
        WatchClock.Call call = clock.call(false);
        assertEquals(WatchClock.LEAST_PAUSE, clock.answered(true, call, 0));
        assertEquals(0, clock.answered(false, call, 0));
        assertEquals(0, clock.answered(true, call, call.waitMs() * 1000));
        assertTrue(WatchClock.LEAST_PAUSE < 200_000, "the next call comes within 200 ms of the last answer");
    }

    /** Balancers told of one change at one moment do not call again at one moment. */
    @Test
    void waitsDiffer() {
        Set<Long> waits = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            long wait = new WatchClock(seed, SECOND).call(false).waitMs();
            assertTrue(wait >= WatchClock.LEAST_WAIT_MS && wait <= WatchClock.MOST_WAIT_MS);
            waits.add(wait);
        }
        assertTrue(waits.size() > 60, waits.size() + " of 100");
        WatchClock clock = new WatchClock(1, SECOND);
        assertNotEquals(clock.call(false), clock.call(false));
    }
}
