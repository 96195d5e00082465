package calicochute.outcomes;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One balancer's part in sharing outcomes. It reports each window it closed to the owners of the servers concerned,
 * adds up as an owner what others report, publishes the aggregates, and stores the rows that all owners publish.
 * Reports to the first two owners are sent twice, unchanged, since datagrams are lost; these two publish, and the third
 * publishes only what they do not. Times are microseconds of the wall clock. Used on one thread.
 */
public final class OutcomeSharing {
    /** Owners of a server that always publish; the others publish only what these do not. */
    private static final int PUBLISHING_OWNERS = 2;

    private static final int MAX_WAITING_REPORTS = 4096;
    /** Bytes of a datagram besides its body, for {@link Limits#publishBytesPerSecond}. */
    private static final int ENVELOPE_BYTES = 60;

    /** Versions of a chunk are its window's number times this, plus the revision. */
    private static final int REVISIONS_PER_WINDOW = 64;
    /** Keys name the window modulo this: more than are held, so that no two relevant windows share a key. */
    private static final int KEY_SLOTS = 64;

    /** Characters of a peer's id. */
    private static final int MAX_ID_LENGTH = 64;

    private final Origin self;
    private final Windows windows;
    private final Transport transport;
    private final Limits limits;
    private final DropCounts counts = new DropCounts();
    private final KeyRegistry keys;
    private final ReportStore reports;
    private final RowStore rows;
    private final ArrayDeque<Resend> resends = new ArrayDeque<>();
    private Owners owners;
    private long oldestRetained = Long.MIN_VALUE;
    private double creditBytes;
    private long creditedAt = Long.MIN_VALUE;

    private record Resend(long due, int sends, String peer, byte[] body) {}

    public OutcomeSharing(Origin self, Windows windows, Transport transport) {
        this(self, windows, transport, Limits.DEFAULT);
    }

    public OutcomeSharing(Origin self, Windows windows, Transport transport, Limits limits) {
        this.self = self;
        this.windows = windows;
        this.transport = transport;
        this.limits = limits;
        keys = new KeyRegistry(limits, counts);
        reports = new ReportStore(limits, counts);
        rows = new RowStore(limits, keys, counts);
        owners = new Owners(Set.of(self.id()), Set.of());
    }

    /**
     * Sets the keys that rows may name: every listed start of a server with every class and arm. A limited number of
     * rows of other keys is held until a list names them.
     */
    public void setKnownKeys(Collection<OutcomeKey> known) {
        keys.setKnown(known);
        rows.onKeysChanged();
        owners = new Owners(owners.live(), keys.servers());
    }

    /** Reports a closed window of this balancer to the owners. */
    public void onWindowClosed(long now, ClosedWindow closed) {
        refreshOwners();
        Map<String, List<MessageCodec.Entry>> publishing = new TreeMap<>();
        Map<String, List<MessageCodec.Entry>> standby = new TreeMap<>();
        // Sorted by hash, since the iteration order of a copied map differs from process to process.
        Map<Long, OutcomeKey> ordered = new TreeMap<>();
        closed.tallies().keySet().forEach(key -> ordered.put(keys.registerOwn(key), key));
        ordered.forEach((hash, key) -> {
            Tally tally = closed.tallies().get(key);
            if (!tally.isPlausible(limits.maxDispatches(), 1)) {
                counts.add(Cause.IMPOSSIBLE);
                return;
            }
            List<String> serverOwners = owners.of(key.server());
            for (String owner : serverOwners) {
                if (owner.equals(self.id())) {
                    reports.add(now, self, closed.window(), hash, tally, this::ownerRank);
                } else {
                    (serverOwners.indexOf(owner) < PUBLISHING_OWNERS ? publishing : standby)
                            .computeIfAbsent(owner, o -> new ArrayList<>())
                            .add(new MessageCodec.Entry(hash, tally));
                }
            }
        });
        publishing.forEach(
                (owner, entries) -> MessageCodec.encodeReports(closed.window(), entries, limits.maxBodyBytes())
                        .forEach(body -> send(now, owner, body, 1)));
        standby.forEach((owner, entries) -> MessageCodec.encodeReports(closed.window(), entries, limits.maxBodyBytes())
                .forEach(body -> transport.send(owner, body)));
    }

    private void send(long now, String peer, byte[] body, int sends) {
        transport.send(peer, body);
        if (sends < limits.maxSends()) {
            if (resends.size() < MAX_WAITING_REPORTS) {
                resends.add(new Resend(now + limits.resendMicros(), sends + 1, peer, body));
            } else {
                counts.add(Cause.UNSENT);
            }
        }
    }

    /** Sends reports again, drops old state and publishes rows. To be called every 50 to 100 ms. */
    public void tick(long now) {
        refreshOwners();
        while (!resends.isEmpty() && (resends.peek().due <= now || resends.peek().due > now + limits.resendMicros())) {
            Resend next = resends.poll();
            if (owners.live().contains(next.peer)) {
                send(now, next.peer, next.body, next.sends);
            }
        }
        long oldest = windows.number(now) - limits.maxWindowsBehind();
        if (oldest != oldestRetained) {
            oldestRetained = oldest;
            reports.retain(oldest, windows.number(now) + limits.maxWindowsAhead());
            rows.retain(oldest, windows.number(now) + limits.maxWindowsAhead());
        }
        publish(now);
    }

    private void refreshOwners() {
        Set<String> live = transport.live();
        if (!live.contains(self.id())) {
            live = new HashSet<>(live);
            live.add(self.id());
        }
        if (!owners.hasSameLive(live)) {
            owners = new Owners(live, keys.servers());
        }
    }

    /**
     * This balancer's rank among the owners of that key, by its own view of the fleet: 0, 1, or 2 for the third owner
     * and for no owner; -1 where the key is unknown.
     */
    private int ownerRank(long hash) {
        OutcomeKey key = keys.find(hash);
        if (key == null) {
            return -1;
        }
        int rank = owners.of(key.server()).indexOf(self.id());
        if (rank < 0) {
            counts.add(Cause.NOT_OWNER);
        }
        return rank < 0 ? PUBLISHING_OWNERS : rank;
    }

    private void publish(long now) {
        creditBytes = creditedAt == Long.MIN_VALUE || now < creditedAt
                ? limits.publishBytesPerSecond()
                : Math.min(
                        limits.publishBytesPerSecond(),
                        creditBytes + (now - creditedAt) * 1e-6 * limits.publishBytesPerSecond());
        creditedAt = now;
        for (boolean unpublishedFirst : new boolean[] {true, false}) {
            reports.windows().forEach((number, window) -> {
                for (int i = 0; i < window.chunks.size(); i++) {
                    ReportStore.Chunk chunk = window.chunks.get(i);
                    boolean due = chunk.due <= now
                            || chunk.due > now + 4 * limits.settleMicros() + 4 * limits.republishMicros();
                    if (due && chunk.changed() && chunk.hasUnpublishedKey() == unpublishedFirst) {
                        publish(now, number, i, chunk);
                    }
                }
            });
        }
    }

    private void publish(long now, long window, int number, ReportStore.Chunk chunk) {
        List<Aggregate> aggregates = new ArrayList<>();
        boolean needed = false;
        for (ReportStore.KeyReports key : chunk.keys) {
            Aggregate mine = key.aggregate(limits.medianMultiple());
            Aggregate held = rows.find(mine.hash(), window);
            // The third owner publishes a row only if the one held has under 95% of the reporters that it knows of.
            boolean wanted =
                    chunk.rank < PUBLISHING_OWNERS || held == null || held.reporters() * 100L < mine.reporters() * 95L;
            needed |= key.changed && wanted;
            if (wanted || key.published) {
                aggregates.add(mine);
            }
        }
        chunk.keys.forEach(key -> rows.add(self, window, key.aggregate(limits.medianMultiple())));
        if (!needed
                || chunk.revision >= REVISIONS_PER_WINDOW - 1
                || owners.live().size() < 2) {
            chunk.due = now + limits.republishMicros();
            chunk.keys.forEach(key -> key.changed = false);
            return;
        }
        if (creditBytes <= 0) {
            return;
        }
        byte[] body = MessageCodec.encodeRows(window, aggregates);
        creditBytes -= (double) (body.length + ENVELOPE_BYTES) * (owners.live().size() - 1);
        chunk.revision++;
        chunk.due = now + (chunk.revision == 1 ? limits.republishMicros() : 2 * limits.republishMicros());
        transport.broadcast(
                Long.toString(Math.floorMod(window, (long) KEY_SLOTS), 36) + "." + Integer.toString(number, 36),
                window * REVISIONS_PER_WINDOW + chunk.revision,
                body);
        for (ReportStore.KeyReports key : chunk.keys) {
            key.published |= aggregates.contains(key.aggregate(limits.medianMultiple()));
            key.changed = false;
        }
    }

    /** Receives a report that was sent to this balancer as an owner. */
    public void onReport(long now, String from, long fromStart, byte[] body) {
        try {
            MessageCodec.Report report = MessageCodec.decodeReport(body, limits);
            if (from.length() <= MAX_ID_LENGTH
                    && !from.equals(self.id())
                    && isWindowAccepted(now, from, report.window())) {
                Origin origin = new Origin(from, fromStart);
                for (MessageCodec.Entry entry : report.entries()) {
                    if (entry.tally().isPlausible(limits.maxDispatches(), 1)) {
                        reports.add(now, origin, report.window(), entry.hash(), entry.tally(), this::ownerRank);
                    } else {
                        counts.add(Cause.IMPOSSIBLE);
                    }
                }
            }
        } catch (MessageCodec.MalformedException e) {
            counts.add(Cause.MALFORMED);
        }
    }

    /** Receives rows that an owner published. */
    public void onRows(long now, String from, long fromStart, String key, long version, byte[] body) {
        try {
            MessageCodec.Rows published = MessageCodec.decodeRows(body, limits);
            if (Math.floorDiv(version, (long) REVISIONS_PER_WINDOW) != published.window()) {
                throw new MessageCodec.MalformedException("version does not belong to the window");
            }
            if (from.length() <= MAX_ID_LENGTH
                    && !from.equals(self.id())
                    && isWindowAccepted(now, from, published.window())) {
                for (Aggregate row : published.rows()) {
                    if (row.isPlausible(limits)) {
                        rows.add(new Origin(from, fromStart), published.window(), row);
                    } else {
                        counts.add(Cause.IMPOSSIBLE);
                    }
                }
            }
        } catch (MessageCodec.MalformedException e) {
            counts.add(Cause.MALFORMED);
        }
    }

    private boolean isWindowAccepted(long now, String from, long window) {
        long number = windows.number(now);
        boolean accepted = window <= number + limits.maxWindowsAhead() && window >= number - limits.maxWindowsBehind();
        if (!accepted) {
            counts.addClockOff(from);
        }
        return accepted;
    }

    /** What is known of the fleet's outcomes at this moment. */
    public OutcomeSnapshot snapshot() {
        return new OutcomeSnapshot(windows, rows.knownRows());
    }

    /** The row held for that key and window, or null. */
    Aggregate find(long hash, long window) {
        return rows.find(hash, window);
    }

    /** The number of tallies held as an owner and of rows held as a reader, for checks of the memory bound. */
    public int size() {
        return reports.size() + rows.size();
    }

    public DropCounts counts() {
        return counts;
    }
}
