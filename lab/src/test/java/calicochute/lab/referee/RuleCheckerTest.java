package calicochute.lab.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.scenario.Scenario.Effect;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** For each rule: what breaks it, recorded once, and a similar case that does not. Times are in microseconds. */
class RuleCheckerTest {
    private static final long MILLIS = 1000;
    private static final ClassRule ONCE = new ClassRule(Effect.ONCE, 0);
    private static final ClassRule KEYED = new ClassRule(Effect.KEYED, 7_500 * MILLIS);
    private static final ClassRule REPEATABLE = new ClassRule(Effect.REPEATABLE, 0);

    private static void expect(Consumer<RuleChecker> events, Rule... rules) {
        RuleChecker ruleChecker = new RuleChecker(3_050 * MILLIS);
        events.accept(ruleChecker);
        assertEquals(
                Arrays.asList(rules),
                ruleChecker.allBreaches().stream().map(Breach::rule).toList());
        // Asking again records nothing new.
        assertEquals(rules.length, ruleChecker.allBreaches().size());
    }

    private static RuleChecker.Dispatch dispatch(RuleChecker checker, long at, String id, String server) {
        return checker.dispatchReceived(at, at, id, server);
    }

    private static void sendSession(RuleChecker checker, ClassRule rule) {
        checker.sessionSent(0, "a", "b0", rule, 8_000 * MILLIS);
    }

    @Test
    void sessionsThatKeepAllRules() {
        for (ClassRule rule : List.of(ONCE, KEYED, REPEATABLE)) {
            expect(checker -> {
                sendSession(checker, rule);
                RuleChecker.Dispatch first = dispatch(checker, 1 * MILLIS, "a", "s1");
                checker.dispatchNotRun(2 * MILLIS, first);
                RuleChecker.Dispatch second = dispatch(checker, 3 * MILLIS, "a", "s2");
                checker.dispatchEnded(9 * MILLIS, second);
                checker.responseReceived(10 * MILLIS, "a", 200, RuleChecker.responseToken(second));
            });
        }
    }

    @Test
    void aOnceSessionIsSentAgainOnlyIfItHasNotRun() {
        expect(
                checker -> {
                    sendSession(checker, ONCE);
                    checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
                    checker.dispatchEnded(5 * MILLIS, dispatch(checker, 4 * MILLIS, "a", "s2"));
                    checker.dispatchEnded(7 * MILLIS, dispatch(checker, 6 * MILLIS, "a", "s3"));
                    checker.responseReceived(9 * MILLIS, "a", 502, "");
                },
                Rule.RAN_TWICE);
    }

    @Test
    void aKeyedSessionIsSentAgainOnlyWithinItsWindow() {
        expect(checker -> {
            sendSession(checker, KEYED);
            checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
            checker.dispatchEnded(7_500 * MILLIS, dispatch(checker, 7_400 * MILLIS, "a", "s2"));
            checker.responseReceived(7_600 * MILLIS, "a", 503, "");
        });
        expect(
                checker -> {
                    sendSession(checker, KEYED);
                    checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
                    checker.dispatchEnded(7_600 * MILLIS, dispatch(checker, 7_502 * MILLIS, "a", "s2"));
                    checker.responseReceived(7_700 * MILLIS, "a", 502, "");
                },
                Rule.RAN_TWICE);
    }

    @Test
    void dispatchesOfASessionAreNotConcurrent() {
        expect(checker -> {
            sendSession(checker, REPEATABLE);
            RuleChecker.Dispatch first = dispatch(checker, 1 * MILLIS, "a", "s1");
            RuleChecker.Dispatch second = dispatch(checker, 50 * MILLIS, "a", "s2");
            // Read after the second dispatch, but within the tolerance for the order of events.
            checker.dispatchEnded(60 * MILLIS, first);
            checker.dispatchEnded(80 * MILLIS, second);
            checker.responseReceived(81 * MILLIS, "a", 200, RuleChecker.responseToken(second));
        });
        expect(
                checker -> {
                    sendSession(checker, REPEATABLE);
                    RuleChecker.Dispatch first = dispatch(checker, 1 * MILLIS, "a", "s1");
                    RuleChecker.Dispatch second = dispatch(checker, 50 * MILLIS, "a", "s2");
                    checker.dispatchEnded(80 * MILLIS, second);
                    checker.responseReceived(81 * MILLIS, "a", 200, RuleChecker.responseToken(second));
                    checker.dispatchEnded(200 * MILLIS, first);
                },
                Rule.TWO_AT_ONCE);
    }

    @Test
    void exactlyOneFinalResponseAndNoneForged() {
        expect(
                checker -> {
                    sendSession(checker, ONCE);
                    RuleChecker.Dispatch dispatch = dispatch(checker, 1 * MILLIS, "a", "s1");
                    checker.dispatchEnded(2 * MILLIS, dispatch);
                    checker.responseReceived(3 * MILLIS, "a", 200, RuleChecker.responseToken(dispatch));
                    checker.extraBytesReceived(4 * MILLIS, "a");
                    checker.extraBytesReceived(5 * MILLIS, "a");
                },
                Rule.ANSWERED_TWICE);
        expect(
                checker -> {
                    sendSession(checker, ONCE);
                    checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
                    checker.responseReceived(3 * MILLIS, "a", 200, "made up");
                },
                Rule.FORGED);
        expect(
                checker -> {
                    sendSession(checker, ONCE);
                    checker.sessionUnanswered(8_051 * MILLIS, "a", "silence");
                },
                Rule.LOST);
        expect(checker -> {
            sendSession(checker, ONCE);
            checker.clientLeft("a");
            checker.sessionUnanswered(9 * MILLIS, "a", "silence");
        });
        expect(checker -> {
            sendSession(checker, ONCE);
            checker.balancerKilled("b0");
            checker.sessionUnanswered(9 * MILLIS, "a", "the balancer ended the connection");
        });
    }

    /**
     * A killed balancer's connections are reset some time after the kill. Sessions sent to it until its next start are
     * excused, but not those sent to the new process or to a balancer that was not killed.
     */
    @Test
    void sessionsSentToAKilledBalancerBeforeItsNextStartAreExcused() {
        expect(
                checker -> {
                    checker.balancerKilled("b0");
                    checker.sessionSent(1 * MILLIS, "a", "b0", ONCE, 8_000 * MILLIS);
                    checker.sessionSent(2 * MILLIS, "b", "b1", ONCE, 8_000 * MILLIS);
                    checker.sessionUnanswered(70 * MILLIS, "a", "the balancer ended the connection");
                    checker.sessionUnanswered(71 * MILLIS, "b", "the balancer ended the connection");
                    checker.balancerStarted("b0");
                    checker.sessionSent(500 * MILLIS, "c", "b0", ONCE, 8_500 * MILLIS);
                    checker.sessionUnanswered(501 * MILLIS, "c", "the balancer ended the connection");
                },
                Rule.LOST,
                Rule.LOST);
    }

    @Test
    void aOnceSessionIsDeniedOnlyIfItHasNotRun() {
        expect(
                checker -> {
                    sendSession(checker, ONCE);
                    checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
                    checker.responseReceived(3 * MILLIS, "a", 429, "");
                },
                Rule.DENIED_AFTER_RUN);
        for (ClassRule rule : List.of(KEYED, REPEATABLE)) {
            expect(checker -> {
                sendSession(checker, rule);
                checker.dispatchEnded(2 * MILLIS, dispatch(checker, 1 * MILLIS, "a", "s1"));
                checker.responseReceived(3 * MILLIS, "a", 503, "");
            });
        }
    }

    @Test
    void noDispatchToALeavingServerAfterTheGracePeriod() {
        expect(
                checker -> {
                    sendSession(checker, REPEATABLE);
                    checker.toldLeaving(0, "b0", "s1");
                    checker.toldLeaving(2_000 * MILLIS, "b0", "s1");
                    checker.dispatchEnded(3_049 * MILLIS, dispatch(checker, 3_040 * MILLIS, "a", "s1"));
                    checker.dispatchEnded(3_099 * MILLIS, dispatch(checker, 3_060 * MILLIS, "a", "s1"));
                    checker.responseReceived(3_100 * MILLIS, "a", 502, "");
                },
                Rule.DRAINED);
        expect(checker -> {
            sendSession(checker, REPEATABLE);
            checker.toldLeaving(0, "b0", "s1");
            checker.toldReady("b0", "s1");
            checker.toldLeaving(0, "b1", "s1");
            checker.dispatchEnded(5_000 * MILLIS, dispatch(checker, 4_000 * MILLIS, "a", "s1"));
            checker.responseReceived(5_001 * MILLIS, "a", 502, "");
        });
    }

    /** A paused process cannot answer, and cannot read what it is told. */
    @Test
    void aPausedBalancerIsExcusedUntilItContinues() {
        expect(checker -> {
            sendSession(checker, ONCE);
            checker.balancerPaused(10 * MILLIS, "b0", true);
            checker.sessionSent(20 * MILLIS, "b", "b0", ONCE, 8_000 * MILLIS);
            checker.toldLeaving(30 * MILLIS, "b0", "s1");
            checker.sessionUnanswered(8_000 * MILLIS, "b", "silence");
            checker.balancerPaused(9_000 * MILLIS, "b0", false);
            checker.sessionUnanswered(9_001 * MILLIS, "a", "the balancer ended the connection");
            checker.sessionSent(9_002 * MILLIS, "c", "b0", REPEATABLE, 19_000 * MILLIS);
            checker.dispatchEnded(11_000 * MILLIS, dispatch(checker, 10_000 * MILLIS, "c", "s1"));
            checker.responseReceived(11_001 * MILLIS, "c", 502, "");
        });
        expect(
                checker -> {
                    checker.balancerPaused(10 * MILLIS, "b0", true);
                    checker.balancerPaused(20 * MILLIS, "b0", false);
                    sendSession(checker, ONCE);
                    checker.sessionUnanswered(8_000 * MILLIS, "a", "silence");
                },
                Rule.LOST);
    }

    @Test
    void collapsedServersAndUnknownIds() {
        expect(checker -> checker.coldServerCollapsed(1, "s1", 2.0 / 3));
        expect(
                checker -> {
                    checker.coldServerCollapsed(1, "s1", 0.67);
                    dispatch(checker, 2, "nobody", "s1");
                },
                Rule.PUSHED_OVER,
                Rule.UNKNOWN);
    }

    @Test
    void aBreachNamesSessionServerAndTimes() {
        RuleChecker ruleChecker = new RuleChecker(0);
        ruleChecker.sessionSent(0, "a", "b7", ONCE, 9);
        ruleChecker.dispatchEnded(2, dispatch(ruleChecker, 1, "a", "s1"));
        dispatch(ruleChecker, 4, "a", "s2");
        String text = ruleChecker.allBreaches().get(0).toString();
        for (String expected : List.of("RAN_TWICE", "b7", "session=a", "server=s2", "at=4", "s1 at 1")) {
            assertTrue(text.contains(expected), text);
        }
        assertEquals(2, ruleChecker.dispatches("a"));
    }
}
