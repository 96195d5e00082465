package calicochute.decision;

import calicochute.decision.ColdFleet.Day;
import calicochute.decision.ColdFleet.Result;
import calicochute.decision.ColdFleet.Setup;
import calicochute.decision.ColdFleet.Site;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Prints the second table of docs/measurements/cold.md: cold servers that fall, on drawn sites. */
final class ColdSitesTable {
    private static final int[] FLEETS = {20, 30, 100, 300};

    /**
     * What servers a site has: alike; of three sizes, told by the list or not; alike in three zones with a price on
     * crossing.
     */
    enum Sizes {
        ALIKE,
        TOLD,
        UNTOLD,
        ZONES
    }

    private ColdSitesTable() {}

    /** A site drawn by the seed: servers, what one bears, load, how cold and for how long, the burst. */
    static Setup draw(Day day, Sizes sizes, int balancers, long seed) {
        var random = new SplittableRandom(seed);
        int servers = random.nextInt(20, 61);
        double bears = 2 * Math.pow(6, random.nextDouble()), load = random.nextDouble(0.5, 1.2);
        boolean sized = sizes == Sizes.TOLD || sizes == Sizes.UNTOLD;
        double[] drawn = random.nextBoolean() ? new double[] {0.5, 1, 2} : new double[] {0.25, 1, 1, 1.5};
        double[] of = sized ? drawn : new double[] {1};
        Site site = new Site(
                servers,
                of,
                sizes == Sizes.TOLD,
                sizes == Sizes.ZONES ? 3 : 1,
                random.nextDouble(0.2, 0.5),
                random.nextLong(5, 16) * ColdFleet.SECOND,
                random.nextDouble(1.5, 2.5));
        return new Setup(day, balancers, bears * servers * load / balancers, load, seed, site);
    }

    static List<Result> play(Day day, Sizes sizes, int balancers, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .mapToObj(s -> new ColdFleet(draw(day, sizes, balancers, s)).run())
                .toList();
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 12;
        List<Day> days = args.length > 1
                ? Stream.of(args[1].split(",")).map(Day::valueOf).toList()
                : List.of(Day.values());
        for (Day day : days) {
            for (Sizes sizes : Sizes.values()) {
                StringBuilder row = new StringBuilder("| " + day + " | " + sizes + " |");
                for (int balancers : FLEETS) {
                    var r = play(day, sizes, balancers, seeds);
                    row.append(String.format(
                            Locale.ROOT,
                            " %d/%d, %d, %.2f, %.3f |",
                            r.stream().mapToInt(Result::fell).sum(),
                            r.stream().mapToInt(Result::starts).sum(),
                            r.stream().mapToInt(Result::broken).sum(),
                            r.stream().mapToDouble(Result::worstTold).max().orElse(0),
                            r.stream().mapToDouble(Result::denied).average().orElse(0)));
                }
                System.out.println(row.toString().toLowerCase(Locale.ROOT));
            }
        }
    }
}
