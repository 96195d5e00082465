package calicochute.experiment;

import calicochute.experiment.Counts.ArmLane;
import calicochute.experiment.Experiment.Unit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;

/**
 * One balancer's counting for one experiment: a session is assigned as it begins and counted, for the arm assigned, as
 * it ends; a window is closed once all its sessions have ended or passed their deadline (then they count as failed).
 * Used on one thread.
 *
 * <p>A unit is counted once. Of sessions, retries (marked ones, and those of a call seen here lately) are in the same
 * arm and not counted. A tenant is one draw however many sessions it has, so that a sequence of windows would count the
 * same draw again and again: each tenant has one window, drawn by hash over the longest duration, and one balancer at
 * which its sessions of that window are counted, as one figure, their mean.
 */
public final class SessionCounter {
    private static final int MAX_RECENT_CALLS = 8192;
    private static final int MAX_OPEN_WINDOWS = 512;
    /** Microseconds: deadlines are kept this exactly, so that a window holds few of them. */
    private static final long DEADLINE_STEP_MICROS = 100_000;

    /** A session in the experiment; `counted` is false where only its arm matters. */
    public record Enrollment(Arm arm, long window, int laneIndex, String unit, long deadlineMicros, boolean counted) {}

    private static final class OpenWindow {
        final double share;
        final Map<ArmLane, RunningSums> byArmLane = new TreeMap<>();
        final Map<String, RunningSums> byTenant = new HashMap<>();
        final Map<String, ArmLane> armLaneByTenant = new HashMap<>();
        final long[] serverBuckets = new long[4 * Counts.BUCKETS];
        double worthAsked;
        double worthCut;
        /** Sessions not ended, by deadline in steps, rounded up. */
        final TreeMap<Long, Long> unfinishedByDeadline = new TreeMap<>();

        OpenWindow(double share) {
            this.share = share;
        }
    }

    private static final class RunningSums {
        Sums sums = Sums.ZERO;
        long unfinished;
    }

    private final Experiment experiment;
    private final int selfIndex;
    private final int peerCount;
    private final long firstWindow;
    private final long windowMicros;
    private final long windowCount;
    private final LongToDoubleFunction shareOfWindow;
    private final List<String> lanes;
    private final TreeMap<Long, OpenWindow> openWindows = new TreeMap<>();
    private final Set<String> recentCalls = new LinkedHashSet<>();
    private long nextToClose;
    private long lateSessions;
    private long uncountedSessions;

    /**
     * @param me this balancer's place among the configured peers, in order of their names
     * @param first the first window that counts
     * @param from the first that this process tells: one that has just begun saw nothing of those before
     * @param length of a window, microseconds
     * @param share of a window, {@link State#share(long)} of the newest sealed state
     */
    public SessionCounter(
            Experiment experiment,
            int selfIndex,
            int peerCount,
            long firstWindow,
            long fromWindow,
            long windowMicros,
            LongToDoubleFunction shareOfWindow) {
        this.experiment = experiment;
        this.selfIndex = selfIndex;
        this.peerCount = peerCount;
        this.firstWindow = firstWindow;
        this.windowMicros = windowMicros;
        windowCount = Math.max(1, experiment.longest().toMillis() * 1000 / windowMicros);
        this.shareOfWindow = shareOfWindow;
        lanes = experiment.sortedLanes();
        nextToClose = Math.max(firstWindow, fromWindow);
    }

    public Experiment experiment() {
        return experiment;
    }

    /**
     * @param now microseconds of the wall clock
     * @param deadline of the session, the same clock
     * @param call what the caller's retries of one call have in common
     * @param retry whether the caller marked it as one
     * @return null: not in the experiment
     */
    public Enrollment begin(
            long nowMicros, long deadlineMicros, String call, String lane, String tenant, boolean retry) {
        if (!experiment.includes(lane, tenant)) {
            return null;
        }
        long window = Math.floorDiv(nowMicros, windowMicros);
        String unit = experiment.unit() == Unit.TENANT ? tenant : call;
        int laneIndex = lanes.indexOf(lane);
        if (window < nextToClose || openWindows.size() >= MAX_OPEN_WINDOWS && !openWindows.containsKey(window)) {
            uncountedSessions++;
            return new Enrollment(
                    Assignment.of(experiment, unit, shareOfWindow.applyAsDouble(window)),
                    window,
                    laneIndex,
                    unit,
                    deadlineMicros,
                    false);
        }
        // The first session fixes the window's share: a state heard within the window must not split it in two.
        OpenWindow openWindow =
                openWindows.computeIfAbsent(window, any -> new OpenWindow(shareOfWindow.applyAsDouble(window)));
        Arm arm = Assignment.of(experiment, unit, openWindow.share);
        ArmLane armLane = new ArmLane(arm, laneIndex);
        if (experiment.unit() == Unit.TENANT) {
            if (!isTenantCounted(tenant, window)) {
                return new Enrollment(arm, window, laneIndex, unit, deadlineMicros, false);
            }
            openWindow.armLaneByTenant.putIfAbsent(tenant, armLane);
            openWindow.byTenant.computeIfAbsent(tenant, any -> new RunningSums()).unfinished++;
        } else {
            RunningSums running = openWindow.byArmLane.computeIfAbsent(armLane, any -> new RunningSums());
            if (isRepeatedCall(call) || retry) {
                running.sums = running.sums.plus(new Sums(0, 0, 0, 0, 0, 1));
                return new Enrollment(arm, window, laneIndex, unit, deadlineMicros, false);
            }
            running.unfinished++;
        }
        openWindow.unfinishedByDeadline.merge(deadlineStep(deadlineMicros), 1L, Long::sum);
        return new Enrollment(arm, window, laneIndex, unit, deadlineMicros, true);
    }

    private static long deadlineStep(long deadlineMicros) {
        return -Math.floorDiv(-deadlineMicros, DEADLINE_STEP_MICROS);
    }

    private boolean isTenantCounted(String tenant, long window) {
        return Math.floorMod(window - firstWindow, windowCount)
                        == (long) (Assignment.position(experiment, tenant, "turn") * windowCount)
                && (int) (Assignment.position(experiment, tenant, "place") * peerCount) == selfIndex;
    }

    private boolean isRepeatedCall(String call) {
        boolean repeated = !recentCalls.add(call);
        if (recentCalls.size() > MAX_RECENT_CALLS) {
            Iterator<String> oldest = recentCalls.iterator();
            oldest.next();
            oldest.remove();
        }
        return repeated;
    }

    /**
     * The session ended.
     *
     * @param asked worth asked for, the class's worth or the order's
     * @param served of it, within the aim
     * @param crossed the assigned arm had no room: another server took it, or it was denied for that
     * @param server that answered; "": none
     */
    public void end(
            Enrollment enrollment,
            double worthAsked,
            double worthServed,
            boolean failed,
            boolean crossover,
            String server) {
        if (!enrollment.counted()) {
            return;
        }
        OpenWindow openWindow = openWindows.get(enrollment.window());
        if (openWindow == null) {
            lateSessions++;
            return;
        }
        double cap = experiment.measure().most();
        double weight = cap > 0 ? Math.min(worthAsked, cap) / cap : 1;
        double servedShare = worthAsked > 0 ? Math.max(0, Math.min(1, worthServed / worthAsked)) : 0;
        long scaledValue = Math.round(weight * servedShare * Sums.SCALE);
        openWindow.unfinishedByDeadline.computeIfPresent(
                deadlineStep(enrollment.deadlineMicros()), (any, count) -> count > 1 ? count - 1 : null);
        openWindow.worthAsked += Math.max(0, worthAsked);
        openWindow.worthCut += cap > 0 ? Math.max(0, worthAsked - cap) : 0;
        RunningSums running = experiment.unit() == Unit.TENANT
                ? openWindow.byTenant.get(enrollment.unit())
                : openWindow.byArmLane.get(new ArmLane(enrollment.arm(), enrollment.laneIndex()));
        running.unfinished--;
        running.sums = running.sums.plus(
                new Sums(1, scaledValue, scaledValue * scaledValue, failed ? Sums.SCALE : 0, crossover ? 1 : 0, 0));
        if (!server.isEmpty()) {
            int bucket = 2
                    * (enrollment.arm().ordinal() * Counts.BUCKETS
                            + (int) (Assignment.hashFraction(server) * Counts.BUCKETS));
            openWindow.serverBuckets[bucket]++;
            openWindow.serverBuckets[bucket + 1] += scaledValue;
        }
    }

    /** Windows of which all sessions ended or passed their deadline, in order, empty ones too. */
    public List<Counts> closeWindows(long nowMicros) {
        List<Counts> closed = new ArrayList<>();
        while ((nextToClose + 1) * windowMicros <= nowMicros && closed.size() < MAX_OPEN_WINDOWS) {
            OpenWindow openWindow = openWindows.get(nextToClose);
            if (openWindow != null
                    && !openWindow.unfinishedByDeadline.isEmpty()
                    && openWindow.unfinishedByDeadline.lastKey() * DEADLINE_STEP_MICROS > nowMicros) {
                break;
            }
            openWindows.remove(nextToClose);
            closed.add(toCounts(
                    nextToClose,
                    openWindow == null ? new OpenWindow(shareOfWindow.applyAsDouble(nextToClose)) : openWindow));
            nextToClose++;
        }
        return closed;
    }

    private Counts toCounts(long window, OpenWindow openWindow) {
        Map<ArmLane, Sums> byArmLane = new TreeMap<>();
        openWindow.byArmLane.forEach((armLane, running) -> byArmLane.put(armLane, settle(running)));
        openWindow.byTenant.forEach((tenant, running) -> {
            Sums settled = settle(running);
            long meanValue = Math.round((double) settled.sum() / settled.count());
            Sums tenantSums = new Sums(
                    1,
                    meanValue,
                    meanValue * meanValue,
                    settled.failures() / settled.count(),
                    2 * settled.crossovers() > settled.count() ? 1 : 0,
                    0);
            byArmLane.merge(openWindow.armLaneByTenant.get(tenant), tenantSums, Sums::plus);
        });
        List<Long> serverBuckets = new ArrayList<>();
        for (long value : openWindow.serverBuckets) {
            serverBuckets.add(value);
        }
        return new Counts(
                window, openWindow.share, byArmLane, serverBuckets, openWindow.worthAsked, openWindow.worthCut);
    }

    /** Those past their deadline have failed. */
    private static Sums settle(RunningSums running) {
        return running.sums.plus(new Sums(running.unfinished, 0, 0, running.unfinished * Sums.SCALE, 0, 0));
    }

    /** Sessions that ended after their window was closed: counted as failed there. */
    public long lateSessions() {
        return lateSessions;
    }

    /** Sessions of a window closed before (a clock set back) or beyond those held open: assigned, not counted. */
    public long uncountedSessions() {
        return uncountedSessions;
    }
}
