package calicochute.outcomes;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Generators of random tallies for property tests. */
final class TallyArbitraries {
    private TallyArbitraries() {}

    record Dispatch(DispatchResult result, double logSpeed) {}

    static Arbitrary<Tally> tally() {
        Arbitrary<Double> logSpeed =
                Arbitraries.doubles().between(-8, 8).injectNull(0.2).map(d -> d == null ? Double.NaN : d);
        Arbitrary<Integer> repetitions = Arbitraries.of(1, 1, 1, 7, 1000);
        return Combinators.combine(
                        Combinators.combine(Arbitraries.of(DispatchResult.class), logSpeed)
                                .as(Dispatch::new)
                                .list()
                                .ofMinSize(1)
                                .ofMaxSize(12),
                        repetitions)
                .as((dispatches, count) -> {
                    Tally tally = Tally.EMPTY;
                    for (int i = 0; i < count; i++) {
                        for (Dispatch dispatch : dispatches) {
                            tally = tally.plus(Tally.of(dispatch.result, dispatch.logSpeed));
                        }
                    }
                    return tally;
                });
    }

    static Arbitrary<List<Tally>> tallies() {
        return tally().list().ofMinSize(1).ofMaxSize(24);
    }
}
