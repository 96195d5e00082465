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
    private static final Limits LIMITS = Limits.USUAL;

    @Provide
    Arbitrary<List<Tally>> tallies() {
        return Drawn.tallies();
    }

    /**
     * The row is the same to the last bit whatever the order, could have been measured, and comes back from the wire as
     * it went.
     */
    @Property(tries = 300, seed = "1")
    void rowsOfAnyOrderAreOneRow(@ForAll("tallies") List<Tally> tallies, @ForAll Random random)
            throws Bodies.Malformed {
        Summed row = Summed.of(7, tallies, LIMITS.cap());
        List<Tally> other = new ArrayList<>(tallies);
        Collections.shuffle(other, random);
        assertEquals(row, Summed.of(7, other, LIMITS.cap()));
        tallies.forEach(t -> assertTrue(t.possible(LIMITS.counts(), 1), t::toString));
        assertTrue(row.possible(LIMITS), row::toString);
        byte[] body = Bodies.rows(12, List.of(row));
        assertEquals(new Bodies.Rows(12, List.of(row)), Bodies.rows(body, LIMITS));
        List<Bodies.Entry> entries =
                tallies.stream().map(t -> new Bodies.Entry(t.hashCode(), t)).toList();
        List<Bodies.Entry> back = new ArrayList<>();
        for (byte[] report : Bodies.reports(12, entries, 200)) {
            assertTrue(report.length <= 200);
            back.addAll(Bodies.report(report, LIMITS).entries());
        }
        assertEquals(entries, back);
    }

    /**
     * Whoever the witness and whatever it says: no more than three times the median's dispatches, with its own shares
     * and mean.
     */
    @Property(tries = 300, seed = "2")
    void oneWitnessCountsOnlySoMuch(@ForAll("tallies") List<Tally> tallies) {
        long[] totals = tallies.stream().mapToLong(Tally::total).sorted().toArray();
        long most = 3 * totals[(totals.length - 1) / 2];
        for (Tally tally : tallies) {
            Tally fewer = tally.atMost(most);
            assertEquals(Math.min(most, tally.total()), fewer.total());
            for (End end : End.values()) {
                assertTrue(Math.abs(fewer.of(end) - tally.of(end) * (double) fewer.total() / tally.total()) <= 1);
            }
            if (fewer.speeds() > 0) {
                assertEquals(tally.meanLogSpeed(), fewer.meanLogSpeed(), 1 / Tally.UNITS);
            }
        }
        assertEquals(
                tallies.stream().mapToLong(t -> Math.min(most, t.total())).sum(),
                Summed.of(7, tallies, 3).clipped().total());
    }

    @Example
    void aBadWitnessAmongTwenty() {
        List<Tally> tallies = new ArrayList<>(
                Collections.nCopies(20, Tally.of(End.IN_AIM, 0.5).plus(Tally.of(End.IN_AIM, 0.5))));
        Tally bad = Tally.NONE;
        for (int i = 0; i < 900; i++) {
            bad = bad.plus(Tally.of(End.ERROR, -6));
        }
        tallies.add(bad);
        Summed row = Summed.of(7, tallies, 3);
        assertEquals(900, row.sum().of(End.ERROR));
        assertEquals(6, row.clipped().of(End.ERROR));
        assertEquals(40, row.clipped().of(End.IN_AIM));
        assertEquals(0.5, row.middle());
        assertEquals(42.25 / 21, row.between(), 1e-4);
    }

    @Example
    void whatNobodyCanHaveMeasured() {
        long[] one = {1, 0, 0, 0, 0, 0, 0, 0};
        assertTrue(new Tally(one, 6.9, 47.61, 1).possible(10, 1));
        assertFalse(new Tally(one, 7.1, 50.41, 1).possible(10, 1), "speed over 1000");
        assertFalse(new Tally(one, 2, 3, 1).possible(10, 1), "squares under the mean's");
        assertFalse(new Tally(one, 0, 0, 2).possible(10, 1), "more speeds than dispatches");
        assertFalse(new Tally(one, 1, 0, 0).possible(10, 1), "logs of no speeds");
        assertFalse(new Tally(new long[] {11, 0, 0, 0, 0, 0, 0, 0}, 0, 0, 0).possible(10, 1), "more than can be sent");
        assertFalse(Tally.NONE.possible(10, 1), "nothing");
        one[0] = 9;
        assertArrayEquals(new long[8], Tally.NONE.ends());
    }

    /** The widest row fits its bound, and six of them a body. */
    @Example
    void theWidestRowFits() throws Bodies.Malformed {
        Tally wide = new Tally(
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
        Tally other = new Tally(wide.ends(), wide.logSpeed() + 1, wide.logSpeedSquares(), wide.speeds() - 1);
        Summed row = new Summed(-1, 1024, wide, other, Tally.exact(-6.9), 47);
        assertTrue(row.possible(LIMITS));
        byte[] body = Bodies.rows(1L << 34, Collections.nCopies(Bodies.rows(LIMITS), row));
        assertTrue(body.length <= LIMITS.body() && Bodies.rows(LIMITS) == 6, "bytes: " + body.length);
        assertEquals(row, Bodies.rows(body, LIMITS).rows().get(0));
    }
}
