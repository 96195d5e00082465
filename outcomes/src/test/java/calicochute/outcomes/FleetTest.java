package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.Counts.Cause;
import net.jqwik.api.Example;

class FleetTest {
    /**
     * The aims of the design at 300 balancers and 60 servers with a tenth of the datagrams lost. Virtual time and a
     * fixed seed: the same each run.
     */
    @Example
    void outcomesAreKnownToAllSoonAndCheaply() {
        Fleet fleet = new Fleet(300, 60, 10, 1);
        fleet.run(20_000_000);
        assertTrue(fleet.known.size() >= 75, "outcomes: " + fleet.known.size());
        assertTrue(
                Fleet.mostReach(fleet.known) >= 0.95,
                () -> "95 of 100 outcomes are known to so many after 2 s: " + Fleet.mostReach(fleet.known));
        assertTrue(
                fleet.shares.size() >= 300 * 7 && Fleet.mostReach(fleet.shares) >= 0.95,
                () -> "95 of 100 know so much: " + Fleet.mostReach(fleet.shares));
        assertTrue(
                fleet.shares.stream().allMatch(share -> share > 0.8 && share <= 1),
                "less than eight tenths known, or more than there is");
        long[] rates = fleet.rates();
        assertTrue(rates[299] <= 64_000, () -> "bytes a second: " + rates[299]);
        assertTrue(fleet.held() * 250L < 8_000_000, () -> "held: " + fleet.held());
        fleet.members()
                .forEach(m -> assertTrue(
                        m.sharing.counts().of(Cause.CLASH) + m.sharing.counts().of(Cause.IMPOSSIBLE) == 0));
    }

    @Example
    void aSmallFleetKnowsAll() {
        Fleet fleet = new Fleet(3, 10, 50, 1);
        fleet.run(20_000_000);
        assertTrue(Fleet.mostReach(fleet.shares) == 1 && fleet.shares.stream().allMatch(share -> share <= 1));
        assertTrue(fleet.rates()[2] < 5000);
    }
}
