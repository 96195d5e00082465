package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a cold backend that counts as warm, or stays cold, because the wall clock was stepped. */
class ClockStepTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3600 * SECOND;

    private static final Backend BACKEND = Fixture.backend("b", "z", 0);

    private final Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL);
    private final DefaultBalancer balancer = fixture.balancer;

    private boolean coldAfterStart(long wallClockLead, long age) {
        Backend started = Fixture.with(BACKEND, BackendState.READY, fixture.now + wallClockLead - age);
        fixture.on(new BackendList(ListKind.CHANGES, List.of(started), wallClockLead));
        return balancer.constraints()
                .coldStartBudget()
                .cold(balancer.state().backends.get(started.id()));
    }

    @Test
    void startIsTakenByTheClockItIsGivenIn() {
        fixture.now += 10 * HOUR;
        long warmUp = Fixture.RULES.warmUp();
        assertTrue(coldAfterStart(0, warmUp / 2));
        assertFalse(coldAfterStart(0, warmUp + SECOND));
        for (long lead : new long[] {-HOUR, HOUR}) {
            assertTrue(coldAfterStart(lead, 0), "started after the step");
            fixture.now += warmUp;
            fixture.on(new BackendList(ListKind.CHANGES, List.of(), lead));
            assertFalse(balancer.constraints()
                    .coldStartBudget()
                    .cold(balancer.state().backends.get(BACKEND.id())));
        }
        assertTrue(coldAfterStart(2 * HOUR, HOUR + SECOND), "started a second before a step of an hour");
    }
}
