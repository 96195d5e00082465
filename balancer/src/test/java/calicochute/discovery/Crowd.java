package calicochute.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Many clocks at one discovery, in virtual time: calls to it wait in one line, one that would wait too long ends with
 * 503 after that wait, and a watch that goes on stands in no line. Callers who leave don't give their turn back.
 */
final class Crowd {
    enum Way {
        UP,
        REFUSED,
        SILENT,
        NO_CONNECTION
    }

    private static final long LINE = 3_000_000, NETWORK = 1_000;

    private record Event(long at, long number, Runnable what) {}

    private final class Member {
        final WatchClock clock;
        final Map<WatchClock.Call, Boolean> out = new HashMap<>();
        boolean follows;
        int held = 1;
        long wakes;
        long appliedAt = WatchClock.NEVER;

        Member(long seed, long longestPause) {
            clock = new WatchClock(seed, longestPause);
        }

        void look() {
            for (WatchClock.Act act = clock.act(now, follows); act != null; act = clock.act(now, follows)) {
                if (act.kind() == WatchClock.Kind.GIVE_UP) {
                    out.remove(act.call());
                } else {
                    boolean goesOn = follows;
                    if (!goesOn) {
                        begun.add(now);
                    }
                    follows = false;
                    out.put(act.call(), true);
                    arrive(this, act.call(), goesOn);
                }
            }
            long due = wakes = clock.due();
            at(due, () -> {
                if (due == wakes) {
                    look();
                }
            });
        }

        void up(WatchClock.Call call) {
            if (out.containsKey(call)) {
                call.connected();
            }
        }

        void failed(WatchClock.Call call) {
            if (out.remove(call) != null) {
                clock.failed(call, now);
                look();
            }
        }

        void answered(WatchClock.Call call) {
            if (out.remove(call) != null) {
                boolean nothing = held == generation;
                out.clear();
                if (held != generation) {
                    held = generation;
                    appliedAt = now;
                }
                follows = true;
                clock.answered(call, nothing, now);
                look();
            }
        }
    }

    final List<Long> begun = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final long perCall;
    private final Map<WatchClock.Call, Member> watching = new HashMap<>();
    private Way way = Way.UP;
    private int generation = 1;
    private long now;
    private long number;
    private long busyUntil;

    Crowd(int members, long firstSeed, long longestPause, int callsPerSecond) {
        perCall = 1_000_000 / callsPerSecond;
        for (int i = 0; i < members; i++) {
            this.members.add(new Member(firstSeed + i, longestPause));
        }
    }

    /** All begin, out of step as those of a fleet that has run for long. */
    void begin() {
        for (Member m : members) {
            m.clock.begin(now, 3_000_000);
            m.look();
        }
    }

    void move() {
        for (Member m : members) {
            m.out.clear();
            m.follows = false;
            m.clock.move(now);
            m.look();
        }
    }

    private void at(long time, Runnable what) {
        if (time != WatchClock.NEVER) {
            events.add(new Event(time, number++, what));
        }
    }

    void pass(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event e = events.poll();
            now = Math.max(now, e.at);
            e.what.run();
        }
        now = until;
    }

    /** Discovery goes down; all it has taken ends, or falls silent where it can't be told. */
    void down(Way how) {
        way = how;
        Map<WatchClock.Call, Member> ended = new HashMap<>(watching);
        watching.clear();
        busyUntil = now;
        if (how == Way.REFUSED) {
            ended.forEach((call, m) -> at(now, () -> m.failed(call)));
        }
    }

    /** Discovery can be reached from now on, and has something to tell. */
    void back() {
        way = Way.UP;
        generation++;
    }

    private void arrive(Member m, WatchClock.Call call, boolean goesOn) {
        Way met = way;
        if (met == Way.REFUSED) {
            at(now, () -> m.failed(call));
        } else if (met == Way.SILENT) {
            at(now + NETWORK, () -> m.up(call));
        } else if (met == Way.UP) {
            m.up(call);
            watching.put(call, m);
            long begins = goesOn ? now : Math.max(now, busyUntil);
            if (begins > now + LINE) {
                at(now + LINE, () -> {
                    if (watching.remove(call) != null) {
                        m.failed(call);
                    }
                });
                return;
            }
            busyUntil = goesOn ? busyUntil : begins + perCall;
            at(begins + (goesOn ? 0 : perCall) + NETWORK, () -> handled(m, call));
        }
    }

    private void handled(Member m, WatchClock.Call call) {
        if (m.held != generation) {
            answer(m, call);
        } else {
            at(now + call.waitMs * 1000, () -> answer(m, call));
        }
    }

    private void answer(Member m, WatchClock.Call call) {
        if (watching.remove(call) != null) {
            m.answered(call);
        }
    }

    /** The latest moment at which one of them took the newest list, or never. */
    long lastApplied() {
        return members.stream()
                .mapToLong(m -> m.held == generation ? m.appliedAt : WatchClock.NEVER)
                .max()
                .orElseThrow();
    }

    /** Most calls that began within one second, of those from then on. */
    int most(long from) {
        int most = 0;
        for (int first = 0, last = 0; last < begun.size(); last++) {
            while (first <= last && begun.get(first) < Math.max(from, begun.get(last) - 1_000_000 + 1)) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
