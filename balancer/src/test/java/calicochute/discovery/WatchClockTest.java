package calicochute.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.discovery.WatchClock.Act;
import calicochute.discovery.WatchClock.Call;
import calicochute.discovery.WatchClock.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WatchClockTest {
    private static final long SECOND = 1_000_000, NEVER = WatchClock.NEVER;
    /** For a new connection, its answer, and a crowd that has come at the same time. */
    private static final long ROOM = 1_500_000;
    /** A turn in discovery's line: who leaves before has called for nothing. */
    private static final long LINE = 3 * SECOND;

    /** What becomes of a call: when its connection is up and when it fails, from its beginning on. */
    private enum Fate {
        REFUSED(NEVER, 0),
        RESET(1000, 50_000),
        CUT_OR_SPOILT(1000, SECOND),
        TURNED_AWAY(1000, LINE),
        NO_CONNECTION(NEVER, NEVER),
        LATE_THEN_SILENT(1_100_000, NEVER),
        SILENT(1000, NEVER);

        final long up;
        final long fails;

        Fate(long up, long fails) {
            this.up = up;
            this.fails = fails;
        }
    }

    /** A clock and what becomes of its calls, one fate after another, until one more call begins. */
    private static final class Play {
        final WatchClock clock;
        final List<Call> begun = new ArrayList<>();
        final List<Call> out = new ArrayList<>();
        long now;
        boolean open;
        /** Those that may be out at a time: a third only behind a move, until it is answered for. */
        int most = 2;

        Play(long seed, long longestPause) {
            clock = new WatchClock(seed, longestPause);
        }

        /** One that watches: its opening call has been answered. */
        Play watching() {
            clock.begin(now, 0);
            act();
            clock.answered(out.remove(0), false, now += 300);
            begun.clear();
            open = true;
            return this;
        }

        Play moved() {
            act();
            clock.move(now);
            out.clear();
            begun.clear();
            most = 3;
            return this;
        }

        void act() {
            for (Act act = clock.act(now, open); act != null; act = clock.act(now, open)) {
                if (act.kind() == Kind.BEGIN) {
                    open = false;
                    begun.add(act.call());
                    out.add(act.call());
                    assertTrue(out.size() <= most, most + " out at most");
                } else {
                    Call c = act.call();
                    assertTrue(out.remove(c));
                    assertTrue(
                            !c.isConnected()
                                    || c.waitMs != WatchClock.OPENING_WAIT_MS
                                    || now >= c.begunAt + c.waitMs * 1000 + LINE,
                            "left the line before its turn");
                }
            }
        }

        List<Call> through(Fate... fates) {
            act();
            while (begun.size() <= fates.length) {
                long at = clock.due();
                for (Call c : out) {
                    Fate f = fates[begun.indexOf(c)];
                    at = Math.min(at, c.isConnected() || f.up == NEVER ? NEVER : c.begunAt + f.up);
                    at = Math.min(at, f.fails == NEVER ? NEVER : c.begunAt + f.fails);
                }
                assertTrue(at >= now && at < NEVER, "it goes on");
                now = at;
                for (Call c : List.copyOf(out)) {
                    Fate f = fates[begun.indexOf(c)];
                    if (f.up != NEVER && now >= c.begunAt + f.up) {
                        c.connected();
                    }
                    if (f.fails != NEVER && now >= c.begunAt + f.fails) {
                        out.remove(c);
                        clock.failed(c, now);
                        assertTrue(!out.isEmpty() || clock.due() >= now + WatchClock.LEAST_PAUSE, "not at once again");
                    }
                }
                act();
            }
            return begun;
        }
    }

    /**
     * Whatever became of the calls before, discovery may become able to answer just after one has begun, and the next
     * begins in time: every sequence of five fates, of a watch that stood, of one that moves and of one that begins.
     */
    @Test
    void afterAnySequenceTheNextCallBeginsInTime() {
        assertTrue(WatchClock.LONGEST + ROOM <= WatchClock.TOLD);
        Fate[] all = Fate.values();
        int sequences = all.length * all.length * all.length * all.length * all.length;
        for (int sequence = 0; sequence < sequences; sequence++) {
            Fate[] fates = new Fate[5];
            for (int i = 0, rest = sequence; i < 5; i++, rest /= all.length) {
                fates[i] = all[rest % all.length];
            }
            for (int seed = sequence * 3; seed < sequence * 3 + 3; seed++) {
                inTime(fates, new Play(seed, 5 * SECOND).watching().through(fates));
                Play move = new Play(seed, 5 * SECOND).watching().moved();
                long moved = move.now;
                List<Call> calls = move.through(fates);
                inTime(fates, calls);
                assertTrue(
                        calls.get(1).begunAt + 1_200_000 <= moved + 4 * SECOND,
                        "moved, and the first call ends as " + fates[0]);
                assertTrue(
                        calls.get(2).begunAt + 400_000 <= moved + 4 * SECOND,
                        "moved, and the first calls end as " + fates[0] + ", " + fates[1]);
                assertTrue(move.out.size() <= 2, "no third stays out for good");
                Play young = new Play(seed, WatchClock.LONGEST);
                young.clock.begin(0, WatchClock.BEGIN_WITHIN);
                inTime(fates, young.through(fates));
            }
        }
    }

    private static void inTime(Fate[] fates, List<Call> calls) {
        for (int i = 1; i < calls.size(); i++) {
            long since = calls.get(i).begunAt - calls.get(i - 1).begunAt;
            int call = i;
            assertTrue(
                    since <= WatchClock.LONGEST && since >= WatchClock.LEAST_PAUSE,
                    () -> "after " + call + " of " + List.of(fates) + ": " + since);
        }
    }

    /**
     * Silent from any moment on: found, and the next begun, with room; and so is the third where the second is silent
     * too.
     */
    @Test
    void silenceIsFoundInTimeTwiceInARow() {
        for (int seed = 0; seed < 5000; seed++) {
            for (Fate second : new Fate[] {Fate.SILENT, Fate.LATE_THEN_SILENT, Fate.NO_CONNECTION}) {
                List<Call> calls = new Play(seed, 5 * SECOND).watching().through(Fate.SILENT, second);
                Call first = calls.get(0);
                assertTrue(calls.get(1).begunAt + ROOM <= first.begunAt + WatchClock.TOLD);
                assertTrue(calls.get(2).begunAt + ROOM / 2 <= first.begunAt + WatchClock.TOLD, second.toString());
                assertTrue(
                        calls.get(1).begunAt >= first.begunAt + first.waitMs * 1000 + WatchClock.LATE,
                        "no call that may wait is silent");
            }
        }
    }

    /**
     * One silence is followed by a second call while the first stays; only another one without an answer, or a failure,
     * is told.
     */
    @Test
    void whatIsLostIsTold() {
        Play one = new Play(7, 5 * SECOND).watching();
        one.through(Fate.SILENT);
        assertEquals(2, one.out.size(), "the silent one may have its turn yet");
        assertTrue(!one.clock.lost());
        one.clock.answered(one.out.get(0), true, one.now);
        assertTrue(!one.clock.lost());
        Play two = new Play(7, 5 * SECOND).watching();
        two.through(Fate.SILENT, Fate.SILENT);
        assertTrue(two.clock.lost());
        two.clock.answered(two.out.get(1), true, two.now);
        assertTrue(!two.clock.lost());
        Play refused = new Play(7, 5 * SECOND).watching();
        refused.through(Fate.REFUSED);
        assertTrue(refused.clock.lost());
        refused.clock.move(refused.now);
        assertTrue(!refused.clock.lost());
        Play moved = new Play(7, 5 * SECOND).watching().moved();
        moved.through(Fate.SILENT, Fate.SILENT);
        assertTrue(!moved.clock.lost(), "all three may wait in line");
        moved.through(Fate.SILENT, Fate.SILENT, Fate.SILENT);
        assertTrue(moved.clock.lost());
    }

    /**
     * An answer that is here is neither given up nor asked for again, however long its list takes to read; a bad one
     * is, and not at once.
     */
    @Test
    void anAnswerThatIsReadForLongIsNotAskedForAgain() {
        for (boolean first : new boolean[] {true, false}) {
            Play play = new Play(7, 5 * SECOND);
            if (first) {
                play.clock.begin(0, WatchClock.BEGIN_WITHIN);
                play.now = play.clock.due();
                play.act();
            } else {
                play.watching().through(Fate.SILENT);
            }
            int calls = play.begun.size();
            Call read = play.out.get(0);
            play.out.forEach(Call::connected);
            read.here();
            assertEquals(NEVER, play.clock.due());
            play.now += 60 * SECOND;
            play.act();
            assertEquals(calls, play.begun.size());
            assertTrue(play.out.contains(read));
            play.clock.failed(read, play.now);
            assertEquals(play.now + WatchClock.LEAST_PAUSE, play.clock.due());
        }
    }

    /** New settings count for the pause that has begun, and for those to come. */
    @Test
    void pausesFollowTheSettings() {
        Fate[] refused = new Fate[10];
        Arrays.fill(refused, Fate.REFUSED);
        for (int seed = 0; seed < 100; seed++) {
            Play play = new Play(seed, 5 * SECOND).watching();
            play.through(refused);
            play.out.clear();
            play.clock.failed(play.begun.get(10), play.now);
            assertTrue(play.clock.due() >= play.now + 2 * SECOND);
            play.clock.retune(500_000, play.now);
            assertTrue(play.clock.due() <= play.now + 500_000 && play.clock.due() >= play.now + WatchClock.LEAST_PAUSE);
            play.now = play.clock.due();
            play.begun.clear();
            List<Call> calls = List.copyOf(play.through(refused));
            for (int i = 1; i <= 10; i++) {
                assertTrue(calls.get(i).begunAt - calls.get(i - 1).begunAt <= 500_000);
            }
            play.clock.retune(5 * SECOND, play.now);
            play.out.clear();
            play.clock.failed(calls.get(10), play.now);
            assertTrue(play.clock.due() >= play.now + 2 * SECOND, "and longer ones for the next pause");
        }
    }

    /** Pauses grow with failures up to the bound; no two balancers share theirs. */
    @Test
    void aDiscoveryThatIsDownIsNotStormed() {
        Fate[] refused = new Fate[50];
        Arrays.fill(refused, Fate.REFUSED);
        for (long longest : new long[] {0, 50_000, 500_000, 5 * SECOND}) {
            long most = Math.max(WatchClock.LEAST_PAUSE, Math.min(longest, WatchClock.LONGEST));
            Set<Long> drawn = new HashSet<>();
            long sum = 0;
            for (int seed = 0; seed < 200; seed++) {
                List<Call> calls = new Play(seed, longest).watching().through(refused);
                for (int i = 1; i <= 50; i++) {
                    long pause = calls.get(i).begunAt - calls.get(i - 1).begunAt;
                    assertTrue(pause >= WatchClock.LEAST_PAUSE && pause <= most, "" + pause);
                    sum += i > 3 ? pause : 0;
                }
                drawn.add(calls.get(50).begunAt);
            }
            assertTrue(sum / 200 / 47 >= most * 0.7, "the mean of many is near the longest: " + sum / 200 / 47);
            assertTrue(longest < SECOND || drawn.size() > 190);
        }
    }

    /**
     * A hundred balancers and a discovery that handles 25 calls a second in turn: after an outage of any length and
     * kind all have the news in time, each by about one call, and the calls come spread.
     */
    @Test
    void aReturnIsNoStorm() {
        for (Crowd.Way way : new Crowd.Way[] {Crowd.Way.REFUSED, Crowd.Way.SILENT, Crowd.Way.NO_CONNECTION}) {
            for (long ms : new long[] {50, 500, 1000, 2000, 3000, 5000, 8000, 20_000}) {
                for (int seed = 0; seed < 5; seed++) {
                    Crowd crowd = new Crowd(100, seed * 1000, 5 * SECOND, 25);
                    crowd.begin();
                    crowd.pass(20 * SECOND + seed * 50_000);
                    crowd.down(way);
                    long back = 20 * SECOND + seed * 50_000 + ms * 1000;
                    crowd.pass(back);
                    crowd.back();
                    int before = crowd.begun.size();
                    crowd.pass(back + WatchClock.TOLD);
                    String what = way + " for " + ms + " ms, seed " + seed + ": ";
                    assertTrue(
                            crowd.lastApplied() <= back + WatchClock.TOLD - 300_000,
                            what + (crowd.lastApplied() - back));
                    assertTrue(crowd.begun.size() - before <= 140, what + (crowd.begun.size() - before) + " calls");
                    assertTrue(crowd.most(back) <= 90, what + crowd.most(back) + " in one second");
                }
            }
        }
    }

    /** All are told to move at once, and what there is to tell counts 4 s later. */
    @Test
    void aMoveIsNoStorm() {
        for (int seed = 0; seed < 20; seed++) {
            Crowd crowd = new Crowd(100, seed * 1000, 5 * SECOND, 30);
            crowd.begin();
            crowd.pass(20 * SECOND);
            crowd.back();
            int before = crowd.begun.size();
            crowd.move();
            crowd.pass(24 * SECOND);
            assertTrue(crowd.lastApplied() <= 24 * SECOND - 300_000, "" + crowd.lastApplied());
            assertTrue(crowd.begun.size() - before <= 150, crowd.begun.size() - before + " calls");
            assertTrue(crowd.most(20 * SECOND) <= 95, crowd.most(20 * SECOND) + " in one second");
            // Where their line alone takes longer than there is, second and third calls come behind all first ones: no
            // first waits for them.
            Crowd slow = new Crowd(100, seed * 1000, 5 * SECOND, 25);
            slow.begin();
            slow.pass(20 * SECOND);
            slow.back();
            int before25 = slow.begun.size();
            slow.move();
            slow.pass(25 * SECOND);
            assertTrue(slow.lastApplied() <= 24 * SECOND + 100_000, "" + slow.lastApplied());
            assertTrue(slow.begun.size() - before25 <= 190, slow.begun.size() - before25 + " calls");
            assertTrue(slow.most(20 * SECOND) <= 95, slow.most(20 * SECOND) + " in one second");
        }
    }

    /**
     * An answer that tells nothing and did not wait is not followed at once; any other is, lest the watch be a new one.
     */
    @Test
    void answersThatDoNotWaitMakeNoLoop() {
        for (long took : new long[] {0, 50_000, 150_000, 3 * SECOND}) {
            for (boolean nothing : new boolean[] {true, false}) {
                Play play = new Play(1, SECOND).watching();
                play.act();
                long answered = play.now += took;
                play.clock.answered(play.out.remove(0), nothing, answered);
                boolean atOnce = nothing && took < WatchClock.LEAST_PAUSE;
                assertEquals(answered + (atOnce ? WatchClock.LEAST_PAUSE : 0), play.clock.due());
            }
        }
        assertTrue(WatchClock.LEAST_PAUSE < 200_000, "the next call comes within 200 ms of the last answer");
    }

    /** Where discovery ends the connection behind its answer, calls wait as long as on one that stands. */
    @Test
    void aConnectionForEachCallMakesNoStorm() {
        Play play = new Play(1, SECOND).watching();
        play.open = false;
        play.act();
        assertTrue(!play.begun.get(0).isConnected());
        assertTrue(play.begun.get(0).waitMs >= WatchClock.LEAST_WAIT_MS);
    }

    /** Balancers told of one change at one moment do not call again at one moment. */
    @Test
    void waitsDiffer() {
        Set<Long> waits = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            long wait = new Play(seed, SECOND).watching().through().get(0).waitMs;
            assertTrue(wait >= WatchClock.LEAST_WAIT_MS && wait <= WatchClock.MOST_WAIT_MS);
            waits.add(wait);
        }
        assertTrue(waits.size() > 60, waits.size() + " of 100");
        Play play = new Play(1, SECOND).watching();
        play.act();
        play.clock.answered(play.out.remove(0), true, play.now += SECOND);
        play.act();
        assertNotEquals(play.begun.get(0).waitMs, play.begun.get(1).waitMs);
    }
}
