package calicochute.lab.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.scenario.Scenario.Effect;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Each rule: what breaks it, told once, and the nearest thing that doesn't. Times are in microseconds. */
class RefereeTest {
    private static final long MS = 1000;
    private static final ClassRule ONCE = new ClassRule(Effect.ONCE, 0);
    private static final ClassRule KEYED = new ClassRule(Effect.KEYED, 7_500 * MS);
    private static final ClassRule REPEATABLE = new ClassRule(Effect.REPEATABLE, 0);

    private static void expect(Consumer<Referee> story, Rule... rules) {
        Referee referee = new Referee(3_050 * MS);
        story.accept(referee);
        assertEquals(
                Arrays.asList(rules),
                referee.verdict().stream().map(Breach::rule).toList());
        // A second look finds nothing new.
        assertEquals(rules.length, referee.verdict().size());
    }

    private static Referee.Dispatch sent(Referee r, long at, String id, String server) {
        return r.dispatched(at, at, id, server);
    }

    private static void taken(Referee r, ClassRule rule) {
        r.taken(0, "a", "b0", rule, 8_000 * MS);
    }

    @Test
    void aGoodSessionOfEachClass() {
        for (ClassRule rule : List.of(ONCE, KEYED, REPEATABLE)) {
            expect(r -> {
                taken(r, rule);
                Referee.Dispatch first = sent(r, 1 * MS, "a", "s1");
                r.neverRan(2 * MS, first);
                Referee.Dispatch second = sent(r, 3 * MS, "a", "s2");
                r.ended(9 * MS, second);
                r.answered(10 * MS, "a", 200, Referee.token(second));
            });
        }
    }

    @Test
    void onceIsNotSentAgainUnlessItSurelyNeverRan() {
        expect(
                r -> {
                    taken(r, ONCE);
                    r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
                    r.ended(5 * MS, sent(r, 4 * MS, "a", "s2"));
                    r.ended(7 * MS, sent(r, 6 * MS, "a", "s3"));
                    r.answered(9 * MS, "a", 502, "");
                },
                Rule.RAN_TWICE);
    }

    @Test
    void keyedIsSentAgainWithinItsWindowOnly() {
        expect(r -> {
            taken(r, KEYED);
            r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
            r.ended(7_500 * MS, sent(r, 7_400 * MS, "a", "s2"));
            r.answered(7_600 * MS, "a", 503, "");
        });
        expect(
                r -> {
                    taken(r, KEYED);
                    r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
                    r.ended(7_600 * MS, sent(r, 7_502 * MS, "a", "s2"));
                    r.answered(7_700 * MS, "a", 502, "");
                },
                Rule.RAN_TWICE);
    }

    @Test
    void onlyOneDispatchIsOut() {
        expect(r -> {
            taken(r, REPEATABLE);
            Referee.Dispatch first = sent(r, 1 * MS, "a", "s1");
            Referee.Dispatch second = sent(r, 50 * MS, "a", "s2");
            // Read behind the second's first bytes, but in the same moment.
            r.ended(60 * MS, first);
            r.ended(80 * MS, second);
            r.answered(81 * MS, "a", 200, Referee.token(second));
        });
        expect(
                r -> {
                    taken(r, REPEATABLE);
                    Referee.Dispatch first = sent(r, 1 * MS, "a", "s1");
                    Referee.Dispatch second = sent(r, 50 * MS, "a", "s2");
                    r.ended(80 * MS, second);
                    r.answered(81 * MS, "a", 200, Referee.token(second));
                    r.ended(200 * MS, first);
                },
                Rule.TWO_AT_ONCE);
    }

    @Test
    void oneFinalAnswerAndNoneForged() {
        expect(
                r -> {
                    taken(r, ONCE);
                    Referee.Dispatch d = sent(r, 1 * MS, "a", "s1");
                    r.ended(2 * MS, d);
                    r.answered(3 * MS, "a", 200, Referee.token(d));
                    r.answeredAgain(4 * MS, "a");
                    r.answeredAgain(5 * MS, "a");
                },
                Rule.ANSWERED_TWICE);
        expect(
                r -> {
                    taken(r, ONCE);
                    r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
                    r.answered(3 * MS, "a", 200, "made up");
                },
                Rule.FORGED);
        expect(
                r -> {
                    taken(r, ONCE);
                    r.unanswered(8_051 * MS, "a", "silence");
                },
                Rule.LOST);
        expect(r -> {
            taken(r, ONCE);
            r.left("a");
            r.unanswered(9 * MS, "a", "silence");
        });
        expect(r -> {
            taken(r, ONCE);
            r.killed("b0");
            r.unanswered(9 * MS, "a", "the balancer ended the connection");
        });
    }

    /**
     * Its connections are reset a while after the kill; the next process, and a balancer that nobody killed, have no
     * such excuse.
     */
    @Test
    void whatAKilledBalancerIsSentBeforeItsNextStartIsNobodysFault() {
        expect(
                r -> {
                    r.killed("b0");
                    r.taken(1 * MS, "a", "b0", ONCE, 8_000 * MS);
                    r.taken(2 * MS, "b", "b1", ONCE, 8_000 * MS);
                    r.unanswered(70 * MS, "a", "the balancer ended the connection");
                    r.unanswered(71 * MS, "b", "the balancer ended the connection");
                    r.started("b0");
                    r.taken(500 * MS, "c", "b0", ONCE, 8_500 * MS);
                    r.unanswered(501 * MS, "c", "the balancer ended the connection");
                },
                Rule.LOST,
                Rule.LOST);
    }

    @Test
    void aDenyIsOnlyForWhatNeverRan() {
        expect(
                r -> {
                    taken(r, ONCE);
                    r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
                    r.answered(3 * MS, "a", 429, "");
                },
                Rule.DENIED_AFTER_RUN);
        for (ClassRule rule : List.of(KEYED, REPEATABLE)) {
            expect(r -> {
                taken(r, rule);
                r.ended(2 * MS, sent(r, 1 * MS, "a", "s1"));
                r.answered(3 * MS, "a", 503, "");
            });
        }
    }

    @Test
    void nothingNewAfterTheGrace() {
        expect(
                r -> {
                    taken(r, REPEATABLE);
                    r.toldLeaving(0, "b0", "s1");
                    r.toldLeaving(2_000 * MS, "b0", "s1");
                    r.ended(3_049 * MS, sent(r, 3_040 * MS, "a", "s1"));
                    r.ended(3_099 * MS, sent(r, 3_060 * MS, "a", "s1"));
                    r.answered(3_100 * MS, "a", 502, "");
                },
                Rule.DRAINED);
        expect(r -> {
            taken(r, REPEATABLE);
            r.toldLeaving(0, "b0", "s1");
            r.toldReady("b0", "s1");
            r.toldLeaving(0, "b1", "s1");
            r.ended(5_000 * MS, sent(r, 4_000 * MS, "a", "s1"));
            r.answered(5_001 * MS, "a", 502, "");
        });
    }

    /** A process that is stopped on purpose owes nothing meanwhile, and has read nothing that it was told. */
    @Test
    void aPausedBalancerIsHeldToNothingUntilItGoesOn() {
        expect(r -> {
            taken(r, ONCE);
            r.paused(10 * MS, "b0", true);
            r.taken(20 * MS, "b", "b0", ONCE, 8_000 * MS);
            r.toldLeaving(30 * MS, "b0", "s1");
            r.unanswered(8_000 * MS, "b", "silence");
            r.paused(9_000 * MS, "b0", false);
            r.unanswered(9_001 * MS, "a", "the balancer ended the connection");
            r.taken(9_002 * MS, "c", "b0", REPEATABLE, 19_000 * MS);
            r.ended(11_000 * MS, sent(r, 10_000 * MS, "c", "s1"));
            r.answered(11_001 * MS, "c", 502, "");
        });
        expect(
                r -> {
                    r.paused(10 * MS, "b0", true);
                    r.paused(20 * MS, "b0", false);
                    taken(r, ONCE);
                    r.unanswered(8_000 * MS, "a", "silence");
                },
                Rule.LOST);
    }

    @Test
    void coldServersAndUnknownIds() {
        expect(r -> r.fellOver(1, "s1", 2.0 / 3));
        expect(
                r -> {
                    r.fellOver(1, "s1", 0.67);
                    sent(r, 2, "nobody", "s1");
                },
                Rule.PUSHED_OVER,
                Rule.UNKNOWN);
    }

    @Test
    void aBreachNamesSessionTimesAndServer() {
        Referee referee = new Referee(0);
        referee.taken(0, "a", "b7", ONCE, 9);
        referee.ended(2, sent(referee, 1, "a", "s1"));
        sent(referee, 4, "a", "s2");
        String told = referee.verdict().get(0).toString();
        for (String part : List.of("RAN_TWICE", "b7", "session=a", "server=s2", "at=4", "s1 at 1")) {
            assertTrue(told.contains(part), told);
        }
        assertEquals(2, referee.dispatches("a"));
    }
}
