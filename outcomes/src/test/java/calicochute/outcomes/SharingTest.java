package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.Counts.Cause;
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

class SharingTest {
    private static final long S = 1_000_000;
    private static final long NOW = 1000 * S;
    private static final long WINDOW = 499;
    private static final Subject ONE = new Subject("s1", 1, "a", "");
    private static final Subject TWO = new Subject("s2", 1, "a", "");

    /** What one balancer sends. */
    static final class Sent implements Carrier {
        final Set<String> live;
        final List<byte[]> direct = new ArrayList<>();
        final List<byte[]> spread = new ArrayList<>();
        final List<Long> versions = new ArrayList<>();

        Sent(String... live) {
            this.live = Set.of(live);
        }

        @Override
        public void direct(String peer, byte[] body) {
            direct.add(body);
        }

        @Override
        public void spread(String key, long version, byte[] body) {
            spread.add(body);
            versions.add(version);
        }

        @Override
        public Set<String> live() {
            return live;
        }
    }

    private static Sharing c(Carrier carrier) {
        Sharing c = new Sharing(new Origin("c", 1), Windows.USUAL, carrier);
        c.known(List.of(ONE, TWO));
        return c;
    }

    private static Tally tally(int many, End end, double log) {
        Tally tally = Tally.NONE;
        for (int i = 0; i < many; i++) {
            tally = tally.plus(Tally.of(end, log));
        }
        return tally;
    }

    private static byte[] report(long window, Subject subject, Tally tally) {
        return Bodies.reports(window, List.of(new Bodies.Entry(subject.hash(), tally)), 1000)
                .get(0);
    }

    private record Message(String from, long start, boolean direct, byte[] body) {}

    private static void hear(Sharing sharing, long now, Message message) {
        if (message.direct) {
            sharing.heardDirect(now, message.from, message.start, message.body);
        } else {
            sharing.heardSpread(now, message.from, message.start, "f.0", WINDOW * 64 + 1, message.body);
        }
    }

    /**
     * All sequences of up to six of six messages: which of them came decides alone what the third balancer holds, and
     * what it publishes.
     */
    @Example
    void anyOrderLossAndRepetitionEndInTheSamePicture() {
        Tally a = tally(2, End.IN_AIM, 0.3);
        Tally b = tally(3, End.ERROR, Double.NaN);
        List<Message> messages = List.of(
                new Message("a", 1, true, report(WINDOW, ONE, a)),
                new Message("b", 1, true, report(WINDOW, ONE, b)),
                new Message("a", 2, true, report(WINDOW, ONE, a)),
                new Message("a", 1, true, report(WINDOW, ONE, tally(2, End.IN_AIM, 0.4))),
                new Message("a", 1, false, Bodies.rows(WINDOW, List.of(Summed.of(ONE.hash(), List.of(a, b), 3)))),
                new Message("b", 1, false, Bodies.rows(WINDOW, List.of(Summed.of(ONE.hash(), List.of(b, b), 3)))));
        Map<Set<Integer>, Set<Row>> ends = new HashMap<>();
        int many = messages.size();
        for (int length = 0; length <= 6; length++) {
            for (int code = 0; code < Math.pow(many, length); code++) {
                Sharing c = c(new Sent("a", "b", "c"));
                Set<Integer> heard = new TreeSet<>();
                long now = NOW;
                for (int i = 0, rest = code; i < length; i++, rest /= many) {
                    hear(c, now, messages.get(rest % many));
                    heard.add(rest % many);
                    now += code % 2 * 400_000; // half of them with rows published in between
                    c.tick(now);
                }
                c.tick(NOW + 4 * S);
                Set<Row> picture = new HashSet<>(c.picture().rows(now));
                Set<Row> before = ends.putIfAbsent(heard, picture);
                assertTrue(before == null || before.equals(picture), () -> heard + ": " + before + " or " + picture);
            }
        }
        assertEquals(64, ends.size());
        Row whole = ends.get(Set.of(0, 1, 2)).iterator().next();
        assertEquals(3, whole.witnesses(), "a restarted balancer is another witness");
        assertEquals(a.plus(b).plus(a), whole.sum());
        Row clash = ends.get(Set.of(0, 3)).iterator().next();
        assertEquals(tally(2, End.IN_AIM, 0.4), clash.sum());
    }

    @Example
    void aReportIsSentAgainUnchangedAndCountsOnce() {
        Sent sent = new Sent("a", "b", "c");
        Sharing a = new Sharing(new Origin("a", 1), Windows.USUAL, sent);
        a.closed(NOW, new Closed(WINDOW, Map.of(ONE, tally(4, End.LATE, -1))));
        assertEquals(2, sent.direct.size());
        a.tick(NOW + S);
        assertEquals(4, sent.direct.size());
        a.tick(NOW + 2 * S);
        assertEquals(4, sent.direct.size());
        Sent ofC = new Sent("a", "b", "c");
        Sharing c = c(ofC);
        sent.direct.forEach(body -> c.heardDirect(NOW, "a", 1, body));
        c.tick(NOW + 2 * S);
        Row row = c.picture().newest(NOW + 2 * S).get(ONE);
        assertEquals(
                new Row(ONE, WINDOW, new Origin("c", 1), 1, tally(4, End.LATE, -1), tally(4, End.LATE, -1), -1, 0),
                row);
        assertEquals(0, c.counts().of(Cause.CLASH));
        int spread = ofC.spread.size();
        c.heardDirect(NOW, "b", 1, report(WINDOW, ONE, tally(1, End.LATE, -1)));
        c.tick(NOW + 4 * S);
        assertEquals(spread + 1, ofC.spread.size(), "published again once it changed");
        assertEquals(new TreeSet<>(ofC.versions).size(), ofC.versions.size());
        Picture.Aged aged = c.picture().aged(1003 * S).get(new Picture.Server("s1", 1));
        assertEquals(4 * Math.exp(-1), aged.total(), 1e-9, "b's one dispatch is the median: a counts with three");
    }

    @Example
    void aClockThatIsOffIsToldAndNotHeard() {
        Sharing c = c(new Sent("a", "b", "c"));
        long number = Windows.USUAL.number(NOW);
        for (long window : new long[] {number + 3, number - 31, number + 2, number - 30}) {
            c.heardDirect(NOW, "a", 1, report(window, ONE, tally(1, End.LATE, 0)));
        }
        assertEquals(Map.of("a", 2L), c.counts().clockOff());
        assertEquals(2, c.held());
    }

    @Example
    void aSubjectNoListHasNamedYetIsHeldUntilOneDoes() {
        Sharing c = c(new Sent("a", "b", "c"));
        Subject later = new Subject("s3", 9, "a", "b");
        Tally tally = tally(1, End.IN_AIM, 0);
        c.heardSpread(
                NOW,
                "a",
                1,
                "f.0",
                WINDOW * 64 + 1,
                Bodies.rows(WINDOW, List.of(Summed.of(later.hash(), List.of(tally), 3))));
        assertEquals(0, c.picture().rows(NOW).size());
        c.known(List.of(later));
        assertEquals(1, c.picture().rows(NOW).size());
        for (int i = 0; i < 5000; i++) {
            c.heardSpread(
                    NOW, "a", 1, "f.0", WINDOW * 64 + 1, Bodies.rows(WINDOW, List.of(Summed.of(i, List.of(tally), 3))));
        }
        assertEquals(1 + Limits.USUAL.unknown(), c.held());
    }

    /** One origin that names subjects without end, and too many in all: the oldest window goes, the newest stays. */
    @Example
    void anOwnerHoldsOnlySoMuch() {
        Sharing c = c(new Sent("a", "b", "c"));
        c.known(IntStream.range(0, 1024)
                .mapToObj(i -> new Subject("s" + i, 1, "a", ""))
                .toList());
        for (int from = 0; from < 40; from++) {
            for (int i = 0; i < 1100; i++) {
                c.heardDirect(
                        NOW,
                        "p" + from,
                        1,
                        report(WINDOW - from % 4, new Subject("s" + i, 1, "a", ""), tally(1, End.IN_AIM, 0)));
            }
        }
        assertTrue(c.held() <= Limits.USUAL.entries(), "held: " + c.held());
        assertTrue(c.counts().of(Cause.GIVEN_UP) > 0 && c.counts().of(Cause.TOO_MANY) >= 20 * 76);
        c.tick(NOW + 3 * S);
        assertTrue(c.picture().newest(NOW + 3 * S).get(ONE).window() == WINDOW);
    }

    @Example
    void ownersOfADeadPeerOnlyPassOn() {
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
