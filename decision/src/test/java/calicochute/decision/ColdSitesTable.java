package calicochute.decision;

import calicochute.decision.ColdStartSimulation.Result;
import calicochute.decision.ColdStartSimulation.Scenario;
import calicochute.decision.ColdStartSimulation.Setup;
import calicochute.decision.ColdStartSimulation.Site;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Prints a table of cold servers that crash, on random sites. */
final class ColdSitesTable {
    /** Numbers of balancers. */
    private static final int[] FLEETS = {20, 30, 100, 300};

    /**
     * The servers of a site: of one size; of several sizes that the list gives or does not give; of one size in three
     * zones with a price on crossing zones.
     */
    enum Sizes {
        ALIKE,
        TOLD,
        UNTOLD,
        ZONES
    }

    private ColdSitesTable() {}

    /**
     * Draws a site by the seed: number and sizes of the servers, their capacity, the load, the capacity while cold, the
     * warm-up time and the burst.
     */
    static Setup draw(Scenario scenario, Sizes sizes, int balancers, long seed) {
        var random = new SplittableRandom(seed);
        int servers = random.nextInt(20, 61);
        double capacity = 2 * Math.pow(6, random.nextDouble());
        double load = random.nextDouble(0.5, 1.2);
        boolean sized = sizes == Sizes.TOLD || sizes == Sizes.UNTOLD;
        double[] severalSizes = random.nextBoolean() ? new double[] {0.5, 1, 2} : new double[] {0.25, 1, 1, 1.5};
        double[] sizesOfSite = sized ? severalSizes : new double[] {1};
        Site site = new Site(
                servers,
                sizesOfSite,
                sizes == Sizes.TOLD,
                sizes == Sizes.ZONES ? 3 : 1,
                random.nextDouble(0.2, 0.5),
                random.nextLong(5, 16) * ColdStartSimulation.SECOND,
                random.nextDouble(1.5, 2.5));
        return new Setup(scenario, balancers, capacity * servers * load / balancers, load, seed, site);
    }

    static List<Result> simulate(Scenario scenario, Sizes sizes, int balancers, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .mapToObj(seed -> new ColdStartSimulation(draw(scenario, sizes, balancers, seed)).run())
                .toList();
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 12;
        List<Scenario> scenarios = args.length > 1
                ? Stream.of(args[1].split(",")).map(Scenario::valueOf).toList()
                : List.of(Scenario.values());
        for (Scenario scenario : scenarios) {
            for (Sizes sizes : Sizes.values()) {
                StringBuilder row = new StringBuilder("| " + scenario + " | " + sizes + " |");
                for (int balancers : FLEETS) {
                    var results = simulate(scenario, sizes, balancers, seeds);
                    row.append(String.format(
                            Locale.ROOT,
                            " %d/%d, %d, %.2f, %.3f |",
                            results.stream().mapToInt(Result::crashed).sum(),
                            results.stream().mapToInt(Result::starts).sum(),
                            results.stream().mapToInt(Result::broken).sum(),
                            results.stream()
                                    .mapToDouble(Result::worstInformed)
                                    .max()
                                    .orElse(0),
                            results.stream()
                                    .mapToDouble(Result::denied)
                                    .average()
                                    .orElse(0)));
                }
                System.out.println(row.toString().toLowerCase(Locale.ROOT));
            }
        }
    }
}
