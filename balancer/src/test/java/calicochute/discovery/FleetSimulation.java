package calicochute.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Simulates many schedules at one discovery service, in virtual time: new watches are handled one after another from a
 * queue, a call that would wait too long ends with 503 after the longest wait, and calls that continue a watch do not
 * queue. A caller that leaves the queue still uses up its turn.
 */
final class FleetSimulation {
    enum State {
        UP,
        REFUSED,
        SILENT,
        NO_CONNECTION
    }

    /** Longest wait in the queue; a call that would wait longer ends after this time. */
    private static final long MAX_QUEUE_WAIT_MICROS = 3_000_000;

    /** Network delay of one message. */
    private static final long NETWORK_DELAY_MICROS = 1_000;

    private record Event(long dueAt, long number, Runnable task) {}

    private final class Member {
        final WatchSchedule schedule;
        final Map<WatchSchedule.Call, Boolean> pendingCalls = new HashMap<>();
        boolean continuesWatch;
        int knownGeneration = 1;
        long nextRunAt;
        long updatedAt = WatchSchedule.NEVER;

        Member(long seed, long maxPauseMicros) {
            schedule = new WatchSchedule(seed, maxPauseMicros);
        }

        void runDueActions() {
            for (WatchSchedule.Action action = schedule.nextAction(now, continuesWatch);
                    action != null;
                    action = schedule.nextAction(now, continuesWatch)) {
                if (action.kind() == WatchSchedule.Kind.ABANDON) {
                    pendingCalls.remove(action.call());
                } else {
                    boolean continues = continuesWatch;
                    if (!continues) {
                        startTimes.add(now);
                    }
                    continuesWatch = false;
                    pendingCalls.put(action.call(), true);
                    receive(this, action.call(), continues);
                }
            }
            long runAt = nextRunAt = schedule.nextActionAt();
            schedule(runAt, () -> {
                if (runAt == nextRunAt) {
                    runDueActions();
                }
            });
        }

        void connected(WatchSchedule.Call call) {
            if (pendingCalls.containsKey(call)) {
                call.connected();
            }
        }

        void failed(WatchSchedule.Call call) {
            if (pendingCalls.remove(call) != null) {
                schedule.failed(call, now);
                runDueActions();
            }
        }

        void answered(WatchSchedule.Call call) {
            if (pendingCalls.remove(call) != null) {
                boolean unchanged = knownGeneration == generation;
                pendingCalls.clear();
                if (knownGeneration != generation) {
                    knownGeneration = generation;
                    updatedAt = now;
                }
                continuesWatch = true;
                schedule.answered(call, unchanged, now);
                runDueActions();
            }
        }
    }

    final List<Long> startTimes = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((left, right) -> left.dueAt != right.dueAt
            ? Long.compare(left.dueAt, right.dueAt)
            : Long.compare(left.number, right.number));
    private final long microsPerCall;
    private final Map<WatchSchedule.Call, Member> openCalls = new HashMap<>();
    /** The state of discovery. */
    private State state = State.UP;

    private int generation = 1;
    private long now;
    private long number;
    private long busyUntil;

    FleetSimulation(int members, long firstSeed, long maxPauseMicros, int callsPerSecond) {
        microsPerCall = 1_000_000 / callsPerSecond;
        for (int i = 0; i < members; i++) {
            this.members.add(new Member(firstSeed + i, maxPauseMicros));
        }
    }

    /** Starts all members, spread like those of a fleet that has run for a long time. */
    void start() {
        for (Member member : members) {
            member.schedule.start(now, 3_000_000);
            member.runDueActions();
        }
    }

    /** Moves all members to another address at once. */
    void move() {
        for (Member member : members) {
            member.pendingCalls.clear();
            member.continuesWatch = false;
            member.schedule.move(now);
            member.runDueActions();
        }
    }

    private void schedule(long time, Runnable task) {
        if (time != WatchSchedule.NEVER) {
            events.add(new Event(time, number++, task));
        }
    }

    void advanceTo(long time) {
        while (!events.isEmpty() && events.peek().dueAt <= time) {
            Event event = events.poll();
            now = Math.max(now, event.dueAt);
            event.task.run();
        }
        now = time;
    }

    /** Starts an outage: calls in progress fail, or get no response if the connection shows nothing. */
    void startOutage(State newState) {
        state = newState;
        Map<WatchSchedule.Call, Member> endedCalls = new HashMap<>(openCalls);
        openCalls.clear();
        busyUntil = now;
        if (newState == State.REFUSED) {
            endedCalls.forEach((call, member) -> schedule(now, () -> member.failed(call)));
        }
    }

    /** Ends the outage; discovery has an update. */
    void endOutage() {
        state = State.UP;
        generation++;
    }

    private void receive(Member member, WatchSchedule.Call call, boolean continues) {
        State stateAtArrival = state;
        if (stateAtArrival == State.REFUSED) {
            schedule(now, () -> member.failed(call));
        } else if (stateAtArrival == State.SILENT) {
            schedule(now + NETWORK_DELAY_MICROS, () -> member.connected(call));
        } else if (stateAtArrival == State.UP) {
            member.connected(call);
            openCalls.put(call, member);
            long handledFrom = continues ? now : Math.max(now, busyUntil);
            if (handledFrom > now + MAX_QUEUE_WAIT_MICROS) {
                schedule(now + MAX_QUEUE_WAIT_MICROS, () -> {
                    if (openCalls.remove(call) != null) {
                        member.failed(call);
                    }
                });
                return;
            }
            busyUntil = continues ? busyUntil : handledFrom + microsPerCall;
            schedule(handledFrom + (continues ? 0 : microsPerCall) + NETWORK_DELAY_MICROS, () -> handled(member, call));
        }
    }

    private void handled(Member member, WatchSchedule.Call call) {
        if (member.knownGeneration != generation) {
            answer(member, call);
        } else {
            schedule(now + call.waitMs * 1000, () -> answer(member, call));
        }
    }

    private void answer(Member member, WatchSchedule.Call call) {
        if (openCalls.remove(call) != null) {
            member.answered(call);
        }
    }

    /** When the last member received the newest list; {@link WatchSchedule#NEVER} if one has not. */
    long lastUpdatedAt() {
        return members.stream()
                .mapToLong(member -> member.knownGeneration == generation ? member.updatedAt : WatchSchedule.NEVER)
                .max()
                .orElseThrow();
    }

    /** The largest number of calls that started within one second, from this time on. */
    int maxCallsPerSecond(long from) {
        int maxCallsPerSecond = 0;
        int first = 0;
        for (int last = 0; last < startTimes.size(); last++) {
            while (first <= last && startTimes.get(first) < Math.max(from, startTimes.get(last) - 1_000_000 + 1)) {
                first++;
            }
            maxCallsPerSecond = Math.max(maxCallsPerSecond, last - first + 1);
        }
        return maxCallsPerSecond;
    }
}
