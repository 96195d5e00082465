package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class TallyTest {
    private static final Limits LIMITS = Limits.DEFAULT;

    @Provide
    Arbitrary<List<Tally>> tallies() {
        return TallyArbitraries.tallies();
    }

    /**
     * The aggregate is the same to the last bit for any order of the tallies, is plausible, and is decoded as it was
     * encoded.
     */
    @Property(tries = 300, seed = "1")
    void aggregatesDoNotDependOnTheOrder(@ForAll("tallies") List<Tally> tallies, @ForAll Random random)
            throws MessageCodec.MalformedException {
        Aggregate row = Aggregate.of(7, tallies, LIMITS.medianMultiple());
        List<Tally> shuffled = new ArrayList<>(tallies);
        Collections.shuffle(shuffled, random);
        assertEquals(row, Aggregate.of(7, shuffled, LIMITS.medianMultiple()));
        tallies.forEach(t -> assertTrue(t.isPlausible(LIMITS.maxDispatches(), 1), t::toString));
        assertTrue(row.isPlausible(LIMITS), row::toString);
        byte[] body = MessageCodec.encodeRows(12, List.of(row));
        assertEquals(new MessageCodec.Rows(12, List.of(row)), MessageCodec.decodeRows(body, LIMITS));
        List<MessageCodec.Entry> entries = tallies.stream()
                .map(t -> new MessageCodec.Entry(t.hashCode(), t))
                .toList();
        List<MessageCodec.Entry> decoded = new ArrayList<>();
        for (byte[] report : MessageCodec.encodeReports(12, entries, 200)) {
            assertTrue(report.length <= 200);
            decoded.addAll(MessageCodec.decodeReport(report, LIMITS).entries());
        }
        assertEquals(entries, decoded);
    }

    /**
     * Whatever a reporter claims, it counts with at most three times the median's dispatches, and keeps its own shares
     * of results and its mean speed.
     */
    @Property(tries = 300, seed = "2")
    void aReportersInfluenceIsBounded(@ForAll("tallies") List<Tally> tallies) {
        long[] totals = tallies.stream().mapToLong(Tally::total).sorted().toArray();
        long most = 3 * totals[(totals.length - 1) / 2];
        for (Tally tally : tallies) {
            Tally clipped = tally.clippedTo(most);
            assertEquals(Math.min(most, tally.total()), clipped.total());
            for (DispatchResult result : DispatchResult.values()) {
                assertTrue(
                        Math.abs(clipped.count(result) - tally.count(result) * (double) clipped.total() / tally.total())
                                <= 1);
            }
            if (clipped.speedSamples() > 0) {
                assertEquals(tally.meanLogSpeed(), clipped.meanLogSpeed(), 1 / Tally.UNITS_PER_LOG);
            }
        }
        assertEquals(
                tallies.stream().mapToLong(t -> Math.min(most, t.total())).sum(),
                Aggregate.of(7, tallies, 3).clipped().total());
    }

    @Example
    void aFaultyReporterAmongTwenty() {
        List<Tally> tallies = new ArrayList<>(Collections.nCopies(
                20,
                Tally.of(DispatchResult.WITHIN_OBJECTIVE, 0.5).plus(Tally.of(DispatchResult.WITHIN_OBJECTIVE, 0.5))));
        Tally faulty = Tally.EMPTY;
        for (int i = 0; i < 900; i++) {
            faulty = faulty.plus(Tally.of(DispatchResult.ERROR, -6));
        }
        tallies.add(faulty);
        Aggregate row = Aggregate.of(7, tallies, 3);
        assertEquals(900, row.sum().count(DispatchResult.ERROR));
        assertEquals(6, row.clipped().count(DispatchResult.ERROR));
        assertEquals(40, row.clipped().count(DispatchResult.WITHIN_OBJECTIVE));
        assertEquals(0.5, row.medianLogSpeed());
        assertEquals(42.25 / 21, row.varianceBetweenReporters(), 1e-4);
    }

    @Example
    void implausibleTalliesAreRecognized() {
        long[] counts = {1, 0, 0, 0, 0, 0, 0, 0};
        assertTrue(new Tally(counts, 6.9, 47.61, 1).isPlausible(10, 1));
        assertFalse(new Tally(counts, 7.1, 50.41, 1).isPlausible(10, 1), "speed over 1000");
        assertFalse(new Tally(counts, 2, 3, 1).isPlausible(10, 1), "sum of squares below the square of the mean");
        assertFalse(new Tally(counts, 0, 0, 2).isPlausible(10, 1), "more speed samples than dispatches");
        assertFalse(new Tally(counts, 1, 0, 0).isPlausible(10, 1), "log speeds without samples");
        assertFalse(
                new Tally(new long[] {11, 0, 0, 0, 0, 0, 0, 0}, 0, 0, 0).isPlausible(10, 1),
                "more dispatches than the limit");
        assertFalse(Tally.EMPTY.isPlausible(10, 1), "no dispatches");
        counts[0] = 9;
        assertArrayEquals(new long[8], Tally.EMPTY.counts());
    }

    /** The largest possible row stays within its size bound, and six of them fit into a body. */
    @Example
    void theLargestRowFitsItsBound() throws MessageCodec.MalformedException {
        Tally largest = new Tally(
                new long[] {
                    128_000_000,
                    128_000_000,
                    128_000_000,
                    128_000_000,
                    128_000_000,
                    128_000_000,
                    128_000_000,
                    128_000_000
                },
                -1_024_000_000 * 6.9,
                1_024_000_000 * 47.7,
                1_024_000_000);
        Tally smaller = new Tally(
                largest.counts(), largest.logSpeedSum() + 1, largest.logSpeedSquareSum(), largest.speedSamples() - 1);
        Aggregate row = new Aggregate(-1, 1024, largest, smaller, Tally.quantize(-6.9), 47);
        assertTrue(row.isPlausible(LIMITS));
        byte[] body = MessageCodec.encodeRows(1L << 34, Collections.nCopies(MessageCodec.maxRowsPerBody(LIMITS), row));
        assertTrue(
                body.length <= LIMITS.maxBodyBytes() && MessageCodec.maxRowsPerBody(LIMITS) == 6,
                "bytes: " + body.length);
        assertEquals(row, MessageCodec.decodeRows(body, LIMITS).rows().get(0));
    }
}
