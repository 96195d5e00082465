package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.ColdFleet.Day;
import calicochute.decision.ColdFleet.Result;
import calicochute.decision.ColdFleet.Setup;
import calicochute.decision.ColdSitesTable.Sizes;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The budget of cold servers is one for the whole fleet, whose balancers can't talk. */
class ColdFleetTest {
    private static Result play(Day day, int balancers, double perBalancer, double load) {
        return play(new Setup(day, balancers, perBalancer, load, 1));
    }

    private static Result play(Setup setup) {
        Result r = new ColdFleet(setup).run();
        assertEquals(0, r.over(), () -> "servers sent more than they bear: " + r);
        assertEquals(0, r.broken(), () -> "servers felled: " + r);
        return r;
    }

    /** Six servers that half of the fleet never called are all that is left: all instances come to them at once. */
    @ParameterizedTest
    @CsvSource({"12, 20", "100, 2", "300, 0.7"})
    void sumStaysInTheBudgetWhereAllComeToAFew(int balancers, double perBalancer) {
        play(Day.LATER, balancers, perBalancer, 1.2);
        play(Day.LAST, balancers, perBalancer, 1.2);
    }

    @ParameterizedTest
    @CsvSource({"12, 20", "100, 10", "300, 3"})
    void noneIsLeftIdleWhereSessionsAreDenied(int balancers, double perBalancer) {
        for (Day day : new Day[] {Day.ROLL, Day.LOST, Day.WHOLE}) {
            Result r = play(day, balancers, perBalancer, 0.6);
            assertTrue(
                    r.use() > (day == Day.ROLL ? 0.5 : 0.7), () -> "cold servers are hardly used on " + day + ": " + r);
            assertTrue(r.idle() < 2.5, () -> "a cold server idles on " + day + ": " + r);
        }
    }

    /** A drawn site with servers of several sizes: what the mean warm one takes fells small ones that start. */
    @ParameterizedTest
    @CsvSource({"WHOLE, 20", "WHOLE, 30", "LOST, 100", "KILLED, 300"})
    void smallOnesStartInTheirOwnBudget(Day day, int balancers) {
        for (int seed = 1; seed <= 2; seed++) {
            play(ColdSitesTable.draw(day, Sizes.TOLD, balancers, seed));
        }
    }
}
