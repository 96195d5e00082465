package calicochute.decision;

import calicochute.decision.ColdFleet.Day;
import calicochute.decision.ColdFleet.Result;
import calicochute.decision.ColdFleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints the table of docs/measurements/cold.md. */
final class ColdFleetTable {
    private static final double[][] FLEETS = {{12, 20}, {100, 10}, {100, 2}, {300, 3}, {300, 0.7}};

    private ColdFleetTable() {}

    /** Days by loads by fleets: the worst of so many seeds, the mean of use and denials. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 2;
        System.out.println(
                "| day | balancers | sessions a second each | load | worst window, of the budget | only those told "
                        + "| servers over | falls by the rule | use while denied | longest idle, s | denied |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Day day : Day.values()) {
            for (double load : new double[] {0.6, 1.2}) {
                for (double[] f : FLEETS) {
                    row(day, (int) f[0], f[1], load, seeds);
                }
            }
        }
    }

    private static void row(Day day, int balancers, double rate, double load, int seeds) {
        List<Result> r = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            r.add(new ColdFleet(new Setup(day, balancers, rate, load, seed)).run());
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %s | %.2f | %.2f | %d | %d | %.2f | %.1f | %.3f |%n",
                day.toString().toLowerCase(Locale.ROOT),
                balancers,
                rate,
                load,
                r.stream().mapToDouble(Result::worst).max().orElse(0),
                r.stream().mapToDouble(Result::worstTold).max().orElse(0),
                r.stream().mapToInt(Result::over).sum(),
                r.stream().mapToInt(Result::broken).sum(),
                r.stream().mapToDouble(Result::use).average().orElse(0),
                r.stream().mapToDouble(Result::idle).max().orElse(0),
                r.stream().mapToDouble(Result::denied).average().orElse(0));
    }
}
