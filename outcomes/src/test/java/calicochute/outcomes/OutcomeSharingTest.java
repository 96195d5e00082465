package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

class OutcomeSharingTest {
    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;

    /** Time in microseconds. */
    private static final long NOW = 1000 * SECOND;

    private static final long WINDOW = 499;
    private static final OutcomeKey KEY = new OutcomeKey("s1", 1, "a", "");
    private static final OutcomeKey OTHER_KEY = new OutcomeKey("s2", 1, "a", "");

    /** Records what one balancer sends. */
    static final class RecordingTransport implements Transport {
        final Set<String> live;
        final List<byte[]> sent = new ArrayList<>();
        final List<byte[]> broadcasts = new ArrayList<>();
        final List<Long> versions = new ArrayList<>();

        RecordingTransport(String... live) {
            this.live = Set.of(live);
        }

        @Override
        public void send(String peer, byte[] body) {
            sent.add(body);
        }

        @Override
        public void broadcast(String key, long version, byte[] body) {
            broadcasts.add(body);
            versions.add(version);
        }

        @Override
        public Set<String> live() {
            return live;
        }
    }

    private static OutcomeSharing sharingOfC(Transport transport) {
        OutcomeSharing sharing = new OutcomeSharing(new Origin("c", 1), Windows.DEFAULT, transport);
        sharing.setKnownKeys(List.of(KEY, OTHER_KEY));
        return sharing;
    }

    private static Tally tally(int count, DispatchResult result, double logSpeed) {
        Tally tally = Tally.EMPTY;
        for (int i = 0; i < count; i++) {
            tally = tally.plus(Tally.of(result, logSpeed));
        }
        return tally;
    }

    private static byte[] report(long window, OutcomeKey key, Tally tally) {
        return MessageCodec.encodeReports(window, List.of(new MessageCodec.Entry(key.hash(), tally)), 1000)
                .get(0);
    }

    private record Message(String from, long start, boolean report, byte[] body) {}

    private static void deliver(OutcomeSharing sharing, long now, Message message) {
        if (message.report) {
            sharing.onReport(now, message.from, message.start, message.body);
        } else {
            sharing.onRows(now, message.from, message.start, "f.0", WINDOW * 64 + 1, message.body);
        }
    }

    /**
     * Delivers all sequences of up to six of six messages. What the third balancer stores and publishes depends only on
     * which of them arrived.
     */
    @Example
    void anyOrderLossAndRepetitionGiveTheSameSnapshot() {
        Tally tallyOfA = tally(2, DispatchResult.WITHIN_OBJECTIVE, 0.3);
        Tally tallyOfB = tally(3, DispatchResult.ERROR, Double.NaN);
        List<Message> messages = List.of(
                new Message("a", 1, true, report(WINDOW, KEY, tallyOfA)),
                new Message("b", 1, true, report(WINDOW, KEY, tallyOfB)),
                new Message("a", 2, true, report(WINDOW, KEY, tallyOfA)),
                new Message("a", 1, true, report(WINDOW, KEY, tally(2, DispatchResult.WITHIN_OBJECTIVE, 0.4))),
                new Message(
                        "a",
                        1,
                        false,
                        MessageCodec.encodeRows(
                                WINDOW, List.of(Aggregate.of(KEY.hash(), List.of(tallyOfA, tallyOfB), 3)))),
                new Message(
                        "b",
                        1,
                        false,
                        MessageCodec.encodeRows(
                                WINDOW, List.of(Aggregate.of(KEY.hash(), List.of(tallyOfB, tallyOfB), 3)))));
        Map<Set<Integer>, Set<AggregateRow>> snapshots = new HashMap<>();
        int count = messages.size();
        for (int length = 0; length <= 6; length++) {
            for (int code = 0; code < Math.pow(count, length); code++) {
                OutcomeSharing sharing = sharingOfC(new RecordingTransport("a", "b", "c"));
                Set<Integer> delivered = new TreeSet<>();
                long now = NOW;
                for (int i = 0, rest = code; i < length; i++, rest /= count) {
                    deliver(sharing, now, messages.get(rest % count));
                    delivered.add(rest % count);
                    now += code % 2 * 400_000; // publishes rows in between for half of the sequences
                    sharing.tick(now);
                }
                sharing.tick(NOW + 4 * SECOND);
                Set<AggregateRow> snapshot = new HashSet<>(sharing.snapshot().rows(now));
                Set<AggregateRow> before = snapshots.putIfAbsent(delivered, snapshot);
                assertTrue(
                        before == null || before.equals(snapshot), () -> delivered + ": " + before + " or " + snapshot);
            }
        }
        assertEquals(64, snapshots.size());
        AggregateRow complete = snapshots.get(Set.of(0, 1, 2)).iterator().next();
        assertEquals(3, complete.reporters(), "a restarted balancer is another reporter");
        assertEquals(tallyOfA.plus(tallyOfB).plus(tallyOfA), complete.sum());
        AggregateRow clash = snapshots.get(Set.of(0, 3)).iterator().next();
        assertEquals(tally(2, DispatchResult.WITHIN_OBJECTIVE, 0.4), clash.sum());
    }

    @Example
    void aReportIsSentTwiceAndCountsOnce() {
        RecordingTransport transport = new RecordingTransport("a", "b", "c");
        OutcomeSharing sharingOfA = new OutcomeSharing(new Origin("a", 1), Windows.DEFAULT, transport);
        sharingOfA.onWindowClosed(NOW, new ClosedWindow(WINDOW, Map.of(KEY, tally(4, DispatchResult.LATE, -1))));
        assertEquals(2, transport.sent.size());
        sharingOfA.tick(NOW + SECOND);
        assertEquals(4, transport.sent.size());
        sharingOfA.tick(NOW + 2 * SECOND);
        assertEquals(4, transport.sent.size());
        RecordingTransport transportOfC = new RecordingTransport("a", "b", "c");
        OutcomeSharing sharing = sharingOfC(transportOfC);
        transport.sent.forEach(body -> sharing.onReport(NOW, "a", 1, body));
        sharing.tick(NOW + 2 * SECOND);
        AggregateRow row = sharing.snapshot().newestRows(NOW + 2 * SECOND).get(KEY);
        assertEquals(
                new AggregateRow(
                        KEY,
                        WINDOW,
                        new Origin("c", 1),
                        1,
                        tally(4, DispatchResult.LATE, -1),
                        tally(4, DispatchResult.LATE, -1),
                        -1,
                        0),
                row);
        assertEquals(0, sharing.counts().of(Cause.CLASH));
        int broadcasts = transportOfC.broadcasts.size();
        sharing.onReport(NOW, "b", 1, report(WINDOW, KEY, tally(1, DispatchResult.LATE, -1)));
        sharing.tick(NOW + 4 * SECOND);
        assertEquals(broadcasts + 1, transportOfC.broadcasts.size(), "changed rows are published again");
        assertEquals(new TreeSet<>(transportOfC.versions).size(), transportOfC.versions.size());
        OutcomeSnapshot.DecayedSums sums =
                sharing.snapshot().decayedSums(1003 * SECOND).get(new OutcomeSnapshot.ServerStart("s1", 1));
        assertEquals(
                4 * Math.exp(-1), sums.total(), 1e-9, "the median is the one dispatch of b, so a counts with three");
    }

    @Example
    void reportsOfABalancerWithAWrongClockAreCountedAndDropped() {
        OutcomeSharing sharing = sharingOfC(new RecordingTransport("a", "b", "c"));
        long number = Windows.DEFAULT.number(NOW);
        for (long window : new long[] {number + 3, number - 31, number + 2, number - 30}) {
            sharing.onReport(NOW, "a", 1, report(window, KEY, tally(1, DispatchResult.LATE, 0)));
        }
        assertEquals(Map.of("a", 2L), sharing.counts().clockOff());
        assertEquals(2, sharing.size());
    }

    @Example
    void rowsOfAnUnknownKeyAreStoredUntilAListNamesIt() {
        OutcomeSharing sharing = sharingOfC(new RecordingTransport("a", "b", "c"));
        OutcomeKey unknown = new OutcomeKey("s3", 9, "a", "b");
        Tally tally = tally(1, DispatchResult.WITHIN_OBJECTIVE, 0);
        sharing.onRows(
                NOW,
                "a",
                1,
                "f.0",
                WINDOW * 64 + 1,
                MessageCodec.encodeRows(WINDOW, List.of(Aggregate.of(unknown.hash(), List.of(tally), 3))));
        assertEquals(0, sharing.snapshot().rows(NOW).size());
        sharing.setKnownKeys(List.of(unknown));
        assertEquals(1, sharing.snapshot().rows(NOW).size());
        for (int i = 0; i < 5000; i++) {
            sharing.onRows(
                    NOW,
                    "a",
                    1,
                    "f.0",
                    WINDOW * 64 + 1,
                    MessageCodec.encodeRows(WINDOW, List.of(Aggregate.of(i, List.of(tally), 3))));
        }
        assertEquals(1 + Limits.DEFAULT.maxUnknownKeys(), sharing.size());
    }

    /**
     * Origins report too many keys each and too many tallies in all: the oldest window is evicted, the newest stays.
     */
    @Example
    void anOwnersMemoryIsBounded() {
        OutcomeSharing sharing = sharingOfC(new RecordingTransport("a", "b", "c"));
        sharing.setKnownKeys(IntStream.range(0, 1024)
                .mapToObj(i -> new OutcomeKey("s" + i, 1, "a", ""))
                .toList());
        for (int from = 0; from < 40; from++) {
            for (int i = 0; i < 1100; i++) {
                sharing.onReport(
                        NOW,
                        "p" + from,
                        1,
                        report(
                                WINDOW - from % 4,
                                new OutcomeKey("s" + i, 1, "a", ""),
                                tally(1, DispatchResult.WITHIN_OBJECTIVE, 0)));
            }
        }
        assertTrue(sharing.size() <= Limits.DEFAULT.maxTallies(), "stored entries: " + sharing.size());
        assertTrue(sharing.counts().of(Cause.GIVEN_UP) > 0 && sharing.counts().of(Cause.TOO_MANY) >= 20 * 76);
        sharing.tick(NOW + 3 * SECOND);
        assertTrue(sharing.snapshot().newestRows(NOW + 3 * SECOND).get(KEY).window() == WINDOW);
    }

    @Example
    void onlyServersOfALeavingPeerChangeOwners() {
        Collection<String> live = new TreeSet<>();
        for (int i = 0; i < 300; i++) {
            live.add("p" + i);
        }
        Map<String, Integer> load = new HashMap<>();
        for (int server = 0; server < 1000; server++) {
            List<String> before = Owners.of("s" + server, live, 3);
            Set<String> fewer = new TreeSet<>(live);
            fewer.remove(before.get(1));
            List<String> after = Owners.of("s" + server, fewer, 3);
            assertEquals(List.of(before.get(0), before.get(2)), after.subList(0, 2));
            assertNotEquals(before.get(1), after.get(2));
            before.forEach(owner -> load.merge(owner, 1, Integer::sum));
        }
        assertEquals(300, load.size());
        assertTrue(load.values().stream().allMatch(n -> n <= 25), () -> "ten on average: " + load);
    }
}
