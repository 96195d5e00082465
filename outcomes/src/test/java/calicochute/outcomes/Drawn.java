package calicochute.outcomes;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Drawn values. */
final class Drawn {
    private Drawn() {}

    record Dispatch(End end, double log) {}

    static Arbitrary<Tally> tally() {
        Arbitrary<Double> log =
                Arbitraries.doubles().between(-8, 8).injectNull(0.2).map(d -> d == null ? Double.NaN : d);
        Arbitrary<Integer> times = Arbitraries.of(1, 1, 1, 7, 1000);
        return Combinators.combine(
                        Combinators.combine(Arbitraries.of(End.class), log)
                                .as(Dispatch::new)
                                .list()
                                .ofMinSize(1)
                                .ofMaxSize(12),
                        times)
                .as((of, many) -> {
                    Tally tally = Tally.NONE;
                    for (int i = 0; i < many; i++) {
                        for (Dispatch one : of) {
                            tally = tally.plus(Tally.of(one.end, one.log));
                        }
                    }
                    return tally;
                });
    }

    static Arbitrary<List<Tally>> tallies() {
        return tally().list().ofMinSize(1).ofMaxSize(24);
    }
}
