package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.ColdSitesTable.Sizes;
import calicochute.decision.ColdStartSimulation.Result;
import calicochute.decision.ColdStartSimulation.Scenario;
import calicochute.decision.ColdStartSimulation.Setup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against cold servers that are overloaded by the sum of what a fleet's balancers send, although the balancers
 * cannot communicate.
 */
class ColdStartSimulationTest {
    private static Result simulate(Scenario scenario, int balancers, double perBalancer, double load) {
        return simulate(new Setup(scenario, balancers, perBalancer, load, 1));
    }

    private static Result simulate(Setup setup) {
        Result result = new ColdStartSimulation(setup).run();
        assertEquals(0, result.overBudget(), () -> "servers that got more than their budget: " + result);
        assertEquals(0, result.broken(), () -> "servers for which the rule was broken: " + result);
        return result;
    }

    /** Only six servers are left, which half of the fleet never called: all instances start to call them at once. */
    @ParameterizedTest
    @CsvSource({"12, 20", "100, 2", "300, 0.7"})
    void totalStaysInBudgetWhereAllBalancersUseFewServers(int balancers, double perBalancer) {
        simulate(Scenario.LATER, balancers, perBalancer, 1.2);
        simulate(Scenario.LAST, balancers, perBalancer, 1.2);
    }

    @ParameterizedTest
    @CsvSource({"12, 20", "100, 10", "300, 3"})
    void noColdServerIsIdleWhileRequestsAreDenied(int balancers, double perBalancer) {
        for (Scenario scenario : new Scenario[] {Scenario.ROLL, Scenario.LOST, Scenario.WHOLE}) {
            Result result = simulate(scenario, balancers, perBalancer, 0.6);
            assertTrue(
                    result.use() > (scenario == Scenario.ROLL ? 0.5 : 0.7),
                    () -> "cold servers are hardly used on " + scenario + ": " + result);
            assertTrue(result.idle() < 2.5, () -> "a cold server idles on " + scenario + ": " + result);
        }
    }

    /** On a site with servers of several sizes the load of a mean warm server would crash small ones that start. */
    @ParameterizedTest
    @CsvSource({"WHOLE, 20", "WHOLE, 30", "LOST, 100", "KILLED, 300"})
    void smallServersStayWithinTheirOwnBudget(Scenario scenario, int balancers) {
        for (int seed = 1; seed <= 2; seed++) {
            simulate(ColdSitesTable.draw(scenario, Sizes.TOLD, balancers, seed));
        }
    }
}
