package calicochute.experiment;

import calicochute.experiment.Counts.Cell;
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
public final class Teller {
    private static final int MOST_RECENT = 8192;
    private static final int MOST_OPEN = 512;
    /** Microseconds: deadlines are kept this exactly, so that a window holds few of them. */
    private static final long STEP = 100_000;

    /** A session in the experiment; `counted` is false where only its arm matters. */
    public record Ticket(Arm arm, long window, int lane, String unit, long deadline, boolean counted) {}

    private static final class Open {
        final double share;
        final Map<Cell, Cellful> cells = new TreeMap<>();
        final Map<String, Cellful> tenants = new HashMap<>();
        final Map<String, Cell> tenantCells = new HashMap<>();
        final long[] parts = new long[4 * Counts.PARTS];
        double asked;
        double cut;
        /** Sessions not ended, by deadline in steps, rounded up. */
        final TreeMap<Long, Long> deadlines = new TreeMap<>();

        Open(double share) {
            this.share = share;
        }
    }

    private static final class Cellful {
        Sums sums = Sums.NONE;
        long open;
    }

    private final Experiment e;
    private final int me;
    private final int peers;
    private final long first;
    private final long length;
    private final long windows;
    private final LongToDoubleFunction share;
    private final List<String> lanes;
    private final TreeMap<Long, Open> open = new TreeMap<>();
    private final Set<String> recent = new LinkedHashSet<>();
    private long nextToClose;
    private long late;
    private long refused;

    /**
     * @param me this balancer's place among the configured peers, in order of their names
     * @param first the first window that counts
     * @param from the first that this process tells: one that has just begun saw nothing of those before
     * @param length of a window, microseconds
     * @param share of a window, {@link State#share(long)} of the newest sealed state
     */
    public Teller(Experiment e, int me, int peers, long first, long from, long length, LongToDoubleFunction share) {
        this.e = e;
        this.me = me;
        this.peers = peers;
        this.first = first;
        this.length = length;
        windows = Math.max(1, e.longest().toMillis() * 1000 / length);
        this.share = share;
        lanes = e.lanesInOrder();
        nextToClose = Math.max(first, from);
    }

    public Experiment experiment() {
        return e;
    }

    /**
     * @param now microseconds of the wall clock
     * @param deadline of the session, the same clock
     * @param call what the caller's retries of one call have in common
     * @param retry whether the caller marked it as one
     * @return null: not in the experiment
     */
    public Ticket begin(long now, long deadline, String call, String lane, String tenant, boolean retry) {
        if (!e.takes(lane, tenant)) {
            return null;
        }
        long window = Math.floorDiv(now, length);
        String unit = e.unit() == Unit.TENANT ? tenant : call;
        int at = lanes.indexOf(lane);
        if (window < nextToClose || open.size() >= MOST_OPEN && !open.containsKey(window)) {
            refused++;
            return new Ticket(Assignment.of(e, unit, share.applyAsDouble(window)), window, at, unit, deadline, false);
        }
        // The first session fixes the window's share: a state heard within the window must not split it in two.
        Open w = open.computeIfAbsent(window, any -> new Open(share.applyAsDouble(window)));
        Arm arm = Assignment.of(e, unit, w.share);
        Cell cell = new Cell(arm, at);
        if (e.unit() == Unit.TENANT) {
            if (!turn(tenant, window)) {
                return new Ticket(arm, window, at, unit, deadline, false);
            }
            w.tenantCells.putIfAbsent(tenant, cell);
            w.tenants.computeIfAbsent(tenant, any -> new Cellful()).open++;
        } else {
            Cellful into = w.cells.computeIfAbsent(cell, any -> new Cellful());
            if (seen(call) || retry) {
                into.sums = into.sums.plus(new Sums(0, 0, 0, 0, 0, 1));
                return new Ticket(arm, window, at, unit, deadline, false);
            }
            into.open++;
        }
        w.deadlines.merge(step(deadline), 1L, Long::sum);
        return new Ticket(arm, window, at, unit, deadline, true);
    }

    private static long step(long deadline) {
        return -Math.floorDiv(-deadline, STEP);
    }

    private boolean turn(String tenant, long window) {
        return Math.floorMod(window - first, windows) == (long) (Assignment.place(e, tenant, "turn") * windows)
                && (int) (Assignment.place(e, tenant, "place") * peers) == me;
    }

    private boolean seen(String call) {
        boolean before = !recent.add(call);
        if (recent.size() > MOST_RECENT) {
            Iterator<String> oldest = recent.iterator();
            oldest.next();
            oldest.remove();
        }
        return before;
    }

    /**
     * The session ended.
     *
     * @param asked worth asked for, the class's worth or the order's
     * @param served of it, within the aim
     * @param crossed the assigned arm had no room: another server took it, or it was denied for that
     * @param server that answered; "": none
     */
    public void over(Ticket ticket, double asked, double served, boolean failed, boolean crossed, String server) {
        if (!ticket.counted()) {
            return;
        }
        Open w = open.get(ticket.window());
        if (w == null) {
            late++;
            return;
        }
        double most = e.measure().most();
        double weight = most > 0 ? Math.min(asked, most) / most : 1;
        double part = asked > 0 ? Math.max(0, Math.min(1, served / asked)) : 0;
        long y = Math.round(weight * part * Sums.PARTS);
        w.deadlines.computeIfPresent(step(ticket.deadline()), (any, many) -> many > 1 ? many - 1 : null);
        w.asked += Math.max(0, asked);
        w.cut += most > 0 ? Math.max(0, asked - most) : 0;
        Cellful into = e.unit() == Unit.TENANT
                ? w.tenants.get(ticket.unit())
                : w.cells.get(new Cell(ticket.arm(), ticket.lane()));
        into.open--;
        into.sums = into.sums.plus(new Sums(1, y, y * y, failed ? Sums.PARTS : 0, crossed ? 1 : 0, 0));
        if (!server.isEmpty()) {
            int at = 2 * (ticket.arm().ordinal() * Counts.PARTS + (int) (Assignment.fraction(server) * Counts.PARTS));
            w.parts[at]++;
            w.parts[at + 1] += y;
        }
    }

    /** Windows of which all sessions ended or passed their deadline, in order, empty ones too. */
    public List<Counts> close(long now) {
        List<Counts> closed = new ArrayList<>();
        while ((nextToClose + 1) * length <= now && closed.size() < MOST_OPEN) {
            Open w = open.get(nextToClose);
            if (w != null && !w.deadlines.isEmpty() && w.deadlines.lastKey() * STEP > now) {
                break;
            }
            open.remove(nextToClose);
            closed.add(counts(nextToClose, w == null ? new Open(share.applyAsDouble(nextToClose)) : w));
            nextToClose++;
        }
        return closed;
    }

    private Counts counts(long window, Open w) {
        Map<Cell, Sums> cells = new TreeMap<>();
        w.cells.forEach((cell, cellful) -> cells.put(cell, settled(cellful)));
        w.tenants.forEach((tenant, cellful) -> {
            Sums all = settled(cellful);
            long y = Math.round((double) all.sum() / all.n());
            Sums one = new Sums(1, y, y * y, all.failures() / all.n(), 2 * all.crossed() > all.n() ? 1 : 0, 0);
            cells.merge(w.tenantCells.get(tenant), one, Sums::plus);
        });
        List<Long> parts = new ArrayList<>();
        for (long part : w.parts) {
            parts.add(part);
        }
        return new Counts(window, w.share, cells, parts, w.asked, w.cut);
    }

    /** Those past their deadline have failed. */
    private static Sums settled(Cellful cellful) {
        return cellful.sums.plus(new Sums(cellful.open, 0, 0, cellful.open * Sums.PARTS, 0, 0));
    }

    /** Sessions that ended after their window was closed: counted as failed there. */
    public long late() {
        return late;
    }

    /** Sessions of a window closed before (a clock set back) or beyond those held open: assigned, not counted. */
    public long refused() {
        return refused;
    }
}
