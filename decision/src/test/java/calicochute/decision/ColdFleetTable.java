package calicochute.decision;

import calicochute.decision.ColdStartSimulation.Result;
import calicochute.decision.ColdStartSimulation.Scenario;
import calicochute.decision.ColdStartSimulation.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints a table of what cold servers get, by scenario, load and fleet. */
final class ColdFleetTable {
    /** Balancers, and requests a second of each. */
    private static final double[][] FLEETS = {{12, 20}, {100, 10}, {100, 2}, {300, 3}, {300, 0.7}};

    private ColdFleetTable() {}

    /** Prints the worst of several seeds and the means of use and denials; the argument is the number of seeds. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 2;
        System.out.println(
                "| day | balancers | sessions a second each | load | worst window, of the budget | only those told "
                        + "| servers over | falls by the rule | use while denied | longest idle, s | denied |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Scenario scenario : Scenario.values()) {
            for (double load : new double[] {0.6, 1.2}) {
                for (double[] fleet : FLEETS) {
                    row(scenario, (int) fleet[0], fleet[1], load, seeds);
                }
            }
        }
    }

    private static void row(Scenario scenario, int balancers, double rate, double load, int seeds) {
        List<Result> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            results.add(new ColdStartSimulation(new Setup(scenario, balancers, rate, load, seed)).run());
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %s | %.2f | %.2f | %d | %d | %.2f | %.1f | %.3f |%n",
                scenario.toString().toLowerCase(Locale.ROOT),
                balancers,
                rate,
                load,
                results.stream().mapToDouble(Result::worst).max().orElse(0),
                results.stream().mapToDouble(Result::worstInformed).max().orElse(0),
                results.stream().mapToInt(Result::overBudget).sum(),
                results.stream().mapToInt(Result::broken).sum(),
                results.stream().mapToDouble(Result::use).average().orElse(0),
                results.stream().mapToDouble(Result::idle).max().orElse(0),
                results.stream().mapToDouble(Result::denied).average().orElse(0));
    }
}
