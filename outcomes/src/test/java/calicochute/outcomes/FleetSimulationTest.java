package calicochute.outcomes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.outcomes.DropCounts.Cause;
import net.jqwik.api.Example;

class FleetSimulationTest {
    /**
     * The design's targets for delay, completeness, bandwidth and memory with 300 balancers and 60 servers, where a
     * tenth of the datagrams is lost. Virtual time and a fixed seed make each run the same.
     */
    @Example
    void outcomesSpreadFastAndCheaplyInALargeFleet() {
        FleetSimulation fleet = new FleetSimulation(300, 60, 10, 1);
        fleet.run(20_000_000);
        assertTrue(fleet.probeShares.size() >= 75, "probe outcomes: " + fleet.probeShares.size());
        assertTrue(
                FleetSimulation.fifthPercentile(fleet.probeShares) >= 0.95,
                () -> "share of balancers that know 95 of 100 outcomes after 2 s: "
                        + FleetSimulation.fifthPercentile(fleet.probeShares));
        assertTrue(
                fleet.dispatchShares.size() >= 300 * 7 && FleetSimulation.fifthPercentile(fleet.dispatchShares) >= 0.95,
                () -> "share of dispatches that 95 of 100 balancers know: "
                        + FleetSimulation.fifthPercentile(fleet.dispatchShares));
        assertTrue(
                fleet.dispatchShares.stream().allMatch(share -> share > 0.8 && share <= 1),
                "a balancer knows less than 80% of the dispatches, or more than there were");
        long[] rates = fleet.bytesPerSecond();
        assertTrue(rates[299] <= 64_000, () -> "bytes a second: " + rates[299]);
        assertTrue(fleet.maxStored() * 250L < 8_000_000, () -> "stored entries: " + fleet.maxStored());
        fleet.members()
                .forEach(m -> assertTrue(
                        m.sharing.counts().of(Cause.CLASH) + m.sharing.counts().of(Cause.IMPOSSIBLE) == 0));
    }

    @Example
    void aSmallFleetKnowsAllOutcomes() {
        FleetSimulation fleet = new FleetSimulation(3, 10, 50, 1);
        fleet.run(20_000_000);
        assertTrue(FleetSimulation.fifthPercentile(fleet.dispatchShares) == 1
                && fleet.dispatchShares.stream().allMatch(share -> share <= 1));
        assertTrue(fleet.bytesPerSecond()[2] < 5000);
    }
}
