package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One balancer's part in sharing: it reports each window it closed to the owners of its servers, adds up as an owner
 * what others report, publishes the sums, and reads the rows of all. Reports to the first two owners are sent again
 * once, unchanged, since datagrams are lost; these two publish, the third where they do not. Times are microseconds of
 * the wall clock. Used on one thread.
 */
public final class Sharing {
    /** Owners of a server that publish in any case; the others where these do not. */
    private static final int PUBLISHING = 2;

    private static final int WAITING = 4096;
    /** What a datagram costs besides its body, for {@link Limits#rate}. */
    private static final int ENVELOPE = 60;

    private static final int REVISIONS = 64;
    /** Keys name the window by this many slots: more than are held, so that no two that matter share one. */
    private static final int SLOTS = 64;

    private static final int NAME = 64;

    private final Origin me;
    private final Windows windows;
    private final Carrier carrier;
    private final Limits limits;
    private final Counts counts = new Counts();
    private final Names names;
    private final Witnesses witnesses;
    private final Board board;
    private final ArrayDeque<Again> again = new ArrayDeque<>();
    private Owners owners;
    private long kept = Long.MIN_VALUE;
    private double credit;
    private long credited = Long.MIN_VALUE;

    private record Again(long due, int sends, String to, byte[] body) {}

    public Sharing(Origin me, Windows windows, Carrier carrier) {
        this(me, windows, carrier, Limits.USUAL);
    }

    public Sharing(Origin me, Windows windows, Carrier carrier, Limits limits) {
        this.me = me;
        this.windows = windows;
        this.carrier = carrier;
        this.limits = limits;
        names = new Names(limits, counts);
        witnesses = new Witnesses(limits, counts);
        board = new Board(limits, names, counts);
        owners = new Owners(Set.of(me.id()), Set.of());
    }

    /**
     * The subjects that rows may name: every listed start of a server with every class and arm. Rows of others are
     * held, a few, until a list names them.
     */
    public void known(Collection<Subject> subjects) {
        names.known(subjects);
        board.named();
        owners = new Owners(owners.live(), names.servers());
    }

    /** A window of this balancer's own is whole. */
    public void closed(long now, Closed closed) {
        look();
        Map<String, List<Bodies.Entry>> first = new TreeMap<>();
        Map<String, List<Bodies.Entry>> spare = new TreeMap<>();
        Map<Long, Subject> inTurn = new TreeMap<>(); // a copied map's own order is another in each process
        closed.tallies().keySet().forEach(subject -> inTurn.put(names.own(subject), subject));
        inTurn.forEach((hash, subject) -> {
            Tally tally = closed.tallies().get(subject);
            if (!tally.possible(limits.counts(), 1)) {
                counts.add(Cause.IMPOSSIBLE);
                return;
            }
            List<String> of = owners.of(subject.server());
            for (String owner : of) {
                if (owner.equals(me.id())) {
                    witnesses.heard(now, me, closed.window(), hash, tally, this::place);
                } else {
                    (of.indexOf(owner) < PUBLISHING ? first : spare)
                            .computeIfAbsent(owner, o -> new ArrayList<>())
                            .add(new Bodies.Entry(hash, tally));
                }
            }
        });
        first.forEach((owner, entries) ->
                Bodies.reports(closed.window(), entries, limits.body()).forEach(body -> send(now, owner, body, 1)));
        spare.forEach((owner, entries) ->
                Bodies.reports(closed.window(), entries, limits.body()).forEach(body -> carrier.direct(owner, body)));
    }

    private void send(long now, String to, byte[] body, int sends) {
        carrier.direct(to, body);
        if (sends < limits.sends()) {
            if (again.size() < WAITING) {
                again.add(new Again(now + limits.resend(), sends + 1, to, body));
            } else {
                counts.add(Cause.UNSENT);
            }
        }
    }

    /** Every 50 to 100 ms. */
    public void tick(long now) {
        look();
        while (!again.isEmpty() && (again.peek().due <= now || again.peek().due > now + limits.resend())) {
            Again next = again.poll();
            if (owners.live().contains(next.to)) {
                send(now, next.to, next.body, next.sends);
            }
        }
        long oldest = windows.number(now) - limits.behind();
        if (oldest != kept) {
            kept = oldest;
            witnesses.keep(oldest, windows.number(now) + limits.ahead());
            board.keep(oldest, windows.number(now) + limits.ahead());
        }
        publish(now);
    }

    private void look() {
        Set<String> live = carrier.live();
        if (!live.contains(me.id())) {
            live = new HashSet<>(live);
            live.add(me.id());
        }
        if (!owners.same(live)) {
            owners = new Owners(live, names.servers());
        }
    }

    /**
     * Which owner of that subject this balancer is, as far as it knows: 0, 1, 2 for a spare one or none; -1: not known.
     */
    private int place(long hash) {
        Subject subject = names.of(hash);
        if (subject == null) {
            return -1;
        }
        int place = owners.of(subject.server()).indexOf(me.id());
        if (place < 0) {
            counts.add(Cause.NOT_OWNER);
        }
        return place < 0 ? PUBLISHING : place;
    }

    private void publish(long now) {
        credit = credited == Long.MIN_VALUE || now < credited
                ? limits.rate()
                : Math.min(limits.rate(), credit + (now - credited) * 1e-6 * limits.rate());
        credited = now;
        for (boolean first : new boolean[] {true, false}) {
            witnesses.windows().forEach((number, window) -> {
                for (int i = 0; i < window.chunks.size(); i++) {
                    Witnesses.Chunk chunk = window.chunks.get(i);
                    boolean due = chunk.due <= now || chunk.due > now + 4 * limits.settle() + 4 * limits.gap();
                    if (due && chunk.changed() && chunk.news() == first) {
                        publish(now, number, i, chunk);
                    }
                }
            });
        }
    }

    private void publish(long now, long window, int number, Witnesses.Chunk chunk) {
        List<Summed> rows = new ArrayList<>();
        boolean needed = false;
        for (Witnesses.Sum sum : chunk.sums) {
            Summed mine = sum.summed(limits.cap());
            Summed held = board.held(mine.hash(), window);
            boolean wanted =
                    chunk.place < PUBLISHING || held == null || held.witnesses() * 100L < mine.witnesses() * 95L;
            needed |= sum.changed && wanted;
            if (wanted || sum.published) {
                rows.add(mine);
            }
        }
        chunk.sums.forEach(sum -> board.heard(me, window, sum.summed(limits.cap())));
        if (!needed || chunk.revision >= REVISIONS - 1 || owners.live().size() < 2) {
            chunk.due = now + limits.gap();
            chunk.sums.forEach(sum -> sum.changed = false);
            return;
        }
        if (credit <= 0) {
            return;
        }
        byte[] body = Bodies.rows(window, rows);
        credit -= (double) (body.length + ENVELOPE) * (owners.live().size() - 1);
        chunk.revision++;
        chunk.due = now + (chunk.revision == 1 ? limits.gap() : 2 * limits.gap());
        carrier.spread(
                Long.toString(Math.floorMod(window, (long) SLOTS), 36) + "." + Integer.toString(number, 36),
                window * REVISIONS + chunk.revision,
                body);
        for (Witnesses.Sum sum : chunk.sums) {
            sum.published |= rows.contains(sum.summed(limits.cap()));
            sum.changed = false;
        }
    }

    /** A report to this balancer as an owner. */
    public void heardDirect(long now, String from, long fromStart, byte[] body) {
        try {
            Bodies.Report report = Bodies.report(body, limits);
            if (from.length() <= NAME && !from.equals(me.id()) && inTime(now, from, report.window())) {
                Origin origin = new Origin(from, fromStart);
                for (Bodies.Entry entry : report.entries()) {
                    if (entry.tally().possible(limits.counts(), 1)) {
                        witnesses.heard(now, origin, report.window(), entry.hash(), entry.tally(), this::place);
                    } else {
                        counts.add(Cause.IMPOSSIBLE);
                    }
                }
            }
        } catch (Bodies.Malformed e) {
            counts.add(Cause.MALFORMED);
        }
    }

    /** An owner's rows. */
    public void heardSpread(long now, String from, long fromStart, String key, long version, byte[] body) {
        try {
            Bodies.Rows rows = Bodies.rows(body, limits);
            if (Math.floorDiv(version, (long) REVISIONS) != rows.window()) {
                throw new Bodies.Malformed("version");
            }
            if (from.length() <= NAME && !from.equals(me.id()) && inTime(now, from, rows.window())) {
                for (Summed row : rows.rows()) {
                    if (row.possible(limits)) {
                        board.heard(new Origin(from, fromStart), rows.window(), row);
                    } else {
                        counts.add(Cause.IMPOSSIBLE);
                    }
                }
            }
        } catch (Bodies.Malformed e) {
            counts.add(Cause.MALFORMED);
        }
    }

    private boolean inTime(long now, String from, long window) {
        long number = windows.number(now);
        boolean in = window <= number + limits.ahead() && window >= number - limits.behind();
        if (!in) {
            counts.clockOff(from);
        }
        return in;
    }

    /** What is known now. */
    public Picture picture() {
        return new Picture(windows, board.known());
    }

    /** Null: no row of it. */
    Summed held(long hash, long window) {
        return board.held(hash, window);
    }

    /** Tallies held as an owner and rows held as a reader, for the bound of memory. */
    public int held() {
        return witnesses.size() + board.size();
    }

    public Counts counts() {
        return counts;
    }
}
