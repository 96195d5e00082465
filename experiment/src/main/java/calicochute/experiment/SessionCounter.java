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
 * Assigns and counts the sessions of one experiment at one balancer. A session is assigned when it begins and counted
 * for the assigned arm when it ends. A window is closed once all its sessions have ended or passed their deadline; the
 * latter count as failed. Not thread-safe.
 *
 * <p>A unit is counted once. Retries of a call, which are marked as such or repeat a call seen recently at this
 * balancer, are assigned to the same arm and not counted. A tenant is one observation regardless of its number of
 * sessions, and counting it in each window would repeat this observation. Each tenant is therefore counted in one
 * window, chosen by hash over the longest duration, and at one balancer, as the mean of its sessions there.
 */
public final class SessionCounter {
    /** Number of calls remembered to recognize retries. */
    private static final int MAX_RECENT_CALLS = 8192;
    /** Number of windows held open at a time, and closed in one call. */
    private static final int MAX_OPEN_WINDOWS = 512;
    /** Resolution of deadlines in microseconds; it bounds the number of deadlines that a window stores. */
    private static final long DEADLINE_STEP_MICROS = 100_000;

    /**
     * A session that takes part in the experiment.
     *
     * @param arm the arm that the session is assigned to
     * @param window number of the window in which the session began
     * @param laneIndex index of the lane in {@link Experiment#sortedLanes()}
     * @param unit the call or the tenant
     * @param deadlineMicros deadline in microseconds of the wall clock
     * @param counted whether the session is counted; if not, only its arm matters
     */
    public record Enrollment(Arm arm, long window, int laneIndex, String unit, long deadlineMicros, boolean counted) {}

    /** A window whose sessions are being counted. */
    private static final class OpenWindow {
        final double share;
        final Map<ArmLane, RunningSums> byArmLane = new TreeMap<>();
        final Map<String, RunningSums> byTenant = new HashMap<>();
        final Map<String, ArmLane> armLaneByTenant = new HashMap<>();
        final long[] serverBuckets = new long[4 * Counts.BUCKETS];
        double worthRequested;
        double worthAboveCap;
        /** Number of unfinished sessions by deadline in units of DEADLINE_STEP_MICROS, rounded up. */
        final TreeMap<Long, Long> unfinishedByDeadline = new TreeMap<>();

        OpenWindow(double share) {
            this.share = share;
        }
    }

    /** Sums of the sessions that have ended, and the number of those that have not. */
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
     * Creates the counter of one experiment.
     *
     * @param selfIndex index of this balancer among the configured peers, sorted by name
     * @param peerCount number of configured peers
     * @param firstWindow the first window of the experiment whose sessions count
     * @param fromWindow the first window that this process reports; it has not seen the windows before its start
     * @param windowMicros length of a window in microseconds
     * @param shareOfWindow share of the treatment in a window, {@link State#share(long)} of the newest sealed state
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
     * Assigns a session that begins.
     *
     * @param nowMicros microseconds of the wall clock
     * @param deadlineMicros deadline of the session, by the same clock
     * @param call identifies a call; its retries have the same value
     * @param retry whether the caller marked the request as a retry
     * @return null if the session does not take part
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
        // The first session fixes the window's share, because a state received during the window must not change it.
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

    /** Converts a deadline to units of DEADLINE_STEP_MICROS, rounded up. */
    private static long deadlineStep(long deadlineMicros) {
        return -Math.floorDiv(-deadlineMicros, DEADLINE_STEP_MICROS);
    }

    /** Whether this balancer counts the tenant's sessions of this window. */
    private boolean isTenantCounted(String tenant, long window) {
        return Math.floorMod(window - firstWindow, windowCount)
                        == (long) (Assignment.position(experiment, tenant, "turn") * windowCount)
                && (int) (Assignment.position(experiment, tenant, "place") * peerCount) == selfIndex;
    }

    /** Remembers the call; true if it was already among the recent ones. */
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
     * Counts a session that has ended.
     *
     * @param worthRequested requested worth of the session
     * @param worthServed the part of it that was served within the objective
     * @param crossover whether the assigned arm had no capacity, so that another server served the session or it was
     *     denied
     * @param server id of the server that answered; empty for none
     */
    public void end(
            Enrollment enrollment,
            double worthRequested,
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
        double weight = cap > 0 ? Math.min(worthRequested, cap) / cap : 1;
        double servedShare = worthRequested > 0 ? Math.max(0, Math.min(1, worthServed / worthRequested)) : 0;
        long scaledValue = Math.round(weight * servedShare * Sums.SCALE);
        openWindow.unfinishedByDeadline.computeIfPresent(
                deadlineStep(enrollment.deadlineMicros()), (any, count) -> count > 1 ? count - 1 : null);
        openWindow.worthRequested += Math.max(0, worthRequested);
        openWindow.worthAboveCap += cap > 0 ? Math.max(0, worthRequested - cap) : 0;
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

    /**
     * Closes the windows whose sessions have all ended or passed their deadline, and returns their counts in order,
     * including windows without sessions.
     */
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
                window,
                openWindow.share,
                byArmLane,
                serverBuckets,
                openWindow.worthRequested,
                openWindow.worthAboveCap);
    }

    /** Counts the unfinished sessions, which have passed their deadline, as failed. */
    private static Sums settle(RunningSums running) {
        return running.sums.plus(new Sums(running.unfinished, 0, 0, running.unfinished * Sums.SCALE, 0, 0));
    }

    /** Number of sessions that ended after their window was closed, which counted them as failed. */
    public long lateSessions() {
        return lateSessions;
    }

    /**
     * Number of sessions assigned but not counted, because their window was already closed (the clock was set back) or
     * too many windows were open.
     */
    public long uncountedSessions() {
        return uncountedSessions;
    }
}
