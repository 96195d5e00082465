package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.fleet;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom admission takes, whom it refuses first, and what it takes for overload. */
class AdmissionTest {
    private long nextRequest = 1000;

    private String one(Fixture f, Outcome outcome, long elapsed) {
        return f.one(nextRequest++, outcome, elapsed);
    }

    @Test
    void overloadRefusesTheLessWorthyFirst() {
        RequestClass dear = new RequestClass("dear", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 9, 0.5, false);
        RequestClass cheap = new RequestClass("cheap", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 1, 0.5, false);
        Fixture f = new Fixture(settings(List.of(dear, cheap), Fixture.LIMITS)).list(fleet(4));
        int[] refused = new int[2];
        for (int i = 0; i < 3000; i++) {
            int said = f.said.size();
            f.arrive(nextRequest++, i % 2, 4 * SECOND);
            refused[i % 2] += f.said.get(said).startsWith("refuse") ? 1 : 0;
            f.now += 20_000;
            // The fleet answers one request in 40 ms, the oldest first: half of what comes.
            if (i % 2 == 1) {
                f.answerOldest();
            }
        }
        assertFalse(refused[0] * 3 > refused[1], refused[0] + " dear and " + refused[1] + " cheap refused");
        assertTrue(refused[1] > 600);
    }

    /** DANGER: full tables answer at once and serve nobody, so an overload would look like rest. */
    @Test
    void rejectionsCloseAdmission() {
        Fixture f = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        f.list(fleet(4));
        int refusedUnsent = 0;
        for (int i = 0; i < 400; i++) {
            int sent = f.sent.size();
            f.arrive(nextRequest++, 4 * SECOND);
            refusedUnsent += f.sent.size() == sent ? 1 : 0;
            f.now += 20_000;
            if (i % 10 != 0 && f.sent.size() > sent) {
                f.outcome(0, Outcome.FULL, 300);
            }
        }
        assertTrue(refusedUnsent > 100, "only " + refusedUnsent + " refused");
    }

    /** Connections that fail or hang tell of their servers: taken for load, they shut admission while most are idle. */
    @Test
    void brokenConnectionsAreNoLoad() {
        Fixture f = new MechanismTest().steady(Effect.ONCE);
        for (int i = 0; i < 200; i++) {
            one(
                    f,
                    i % 4 == 0 ? Outcome.CONNECT_FAILED : i % 4 == 2 ? Outcome.TIMED_OUT : Outcome.OK,
                    i % 4 == 0 ? 1_000 : i % 4 == 2 ? SECOND : 100_000);
            for (int n = 1; n < f.sent.size() && f.choice.known().servers.get("b0").out > 0; n++) {
                f.outcome(n, Outcome.OK, 100_000);
            }
        }
        int sent = f.sent.size();
        for (int i = 0; i < 30; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
        }
        assertEquals(sent + 30, f.sent.size());
    }

    /**
     * DANGER: where all hang or are swamped nothing is answered, so nothing else tells of it: while each time-out was
     * put down to a hung server, one of three balancers went on sending all it got for three seconds to servers from
     * which no answer came.
     */
    @Test
    void timeOutsOfAllAreLoad() {
        Fixture f = new MechanismTest().steady(Effect.ONCE);
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            int said = f.said.size();
            f.arrive(nextRequest++, SECOND);
            refused += f.said.get(said).startsWith("refuse") ? 1 : 0;
            f.now += 50_000;
            // Twenty at a time are out, each until its time of ten typical latencies is over.
            f.timeOutOldest(SECOND);
        }
        assertTrue(refused > 50, "only " + refused + " refused while none of 200 was answered");
    }

    /** Servers that turn sessions away while another one takes them at once are no overload. */
    @Test
    void aFullServerBesideAFreeOneIsNoLoad() {
        Fixture f = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 106; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
            f.now += 100_000;
            for (int full = 0; full < 2 && i >= 100; full++) {
                f.outcome(full, Outcome.FULL, 300);
            }
            f.outcome(i < 100 ? 0 : 2, Outcome.OK, 100_000);
        }
        int sent = f.sent.size();
        for (int i = 0; i < 30; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
        }
        assertEquals(sent + 30, f.sent.size());
    }

    /** DANGER: a healthy answer may take much of its aim; refusing would not make it faster, only fewer. */
    @Test
    void steadyAnswersNearTheAimAreNoOverload() {
        Fixture f = new Fixture(clients(true)).list(fleet(4));
        for (int i = 0; i < 2000; i++) {
            f.arrive(nextRequest++, 3 * SECOND);
            f.now += 40_000;
            // Fifteen are out at any time: each takes 0.6 of the aim.
            if (i >= 14) {
                f.answerOldest();
            }
        }
        assertTrue(f.said.stream().noneMatch(s -> s.startsWith("refuse")));
    }

    /** DANGER: after a jam the limit is low and few answers come to raise it: it stayed shut on old news for long. */
    @Test
    void admissionIsOpenAgainSecondsAfterAJam() {
        Fixture f = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        f.list(fleet(4));
        int[] sentBy = new int[4000];
        int answered = 0;
        int refusedLater = 0;
        for (int i = 0; i < sentBy.length; i++) {
            int said = f.said.size();
            f.arrive(nextRequest++, 4 * SECOND);
            sentBy[i] = f.sent.size();
            refusedLater += i >= 2000 && f.said.get(said).startsWith("refuse") ? 1 : 0;
            f.now += 5_000;
            // An answer takes at least 0.4 s; the fleet gives 200 a second, in five seconds of jam 40.
            if (i >= 80 && answered < sentBy[i - 80] && (i < 1000 || i >= 2000 || i % 5 == 0)) {
                f.answerOldest();
                answered++;
            }
        }
        assertTrue(refusedLater < 50, refusedLater + " refused after the jam");
    }

    /** DANGER: the aim began with the client's first try; a later one may be late from the start. */
    @Test
    void timeThatTheClientWaitedBeforeThisTryIsTakenOffTheAim() {
        for (boolean marks : new boolean[] {true, false}) {
            Fixture f = new Fixture(clients(marks)).list(fleet(1));
            for (int i = 0; i < 20; i++) {
                f.arrive(nextRequest++, 3 * SECOND);
                assertEquals(SECOND, f.sent.get(f.sent.size() - 1).timeout());
                f.outcome(0, Outcome.OK, 200_000);
            }
            // Of the four seconds that a client waits in all, half a second or nearly one is gone.
            arriveAgain(f, 3_500_000);
            assertEquals(500_000, f.sent.get(f.sent.size() - 1).timeout());
            arriveAgain(f, 3_100_000);
            assertTrue(f.lastSaid().startsWith("refuse"));
        }
    }

    /** DANGER: where retries aren't marked, an odd patience means nothing until one is known to be common. */
    @Test
    void anUnmarkedTryIsTakenForTheFirstUntilThePatienceOfFirstTriesIsKnown() {
        Fixture f = new Fixture(clients(false)).list(fleet(1));
        for (int i = 0; i < 20; i++) {
            f.arrive(nextRequest++, (i % 2 == 0 ? 3 : 2) * SECOND);
            assertEquals(SECOND, f.sent.get(f.sent.size() - 1).timeout());
            f.outcome(0, Outcome.OK, 200_000);
        }
    }

    /** DANGER: refused clients come back; served in turn with first tries, they make all of them late. */
    @Test
    void nearTheLimitMarkedRetriesGiveWayToFirstTries() {
        Fixture f = new Fixture(clients(true)).list(fleet(4));
        int[] refused = new int[2];
        for (int i = 0; i < 4000; i++) {
            int said = f.said.size();
            f.on(new Balancer.Arrival(nextRequest++, 0, -1, null, 3 * SECOND, i % 2 == 1));
            refused[i % 2] += f.said.get(said).startsWith("refuse") ? 1 : 0;
            f.now += 45_000;
            if (i % 4 < 2) {
                f.answerOldest();
            }
        }
        assertTrue(refused[1] > 2 * refused[0] && refused[1] > 300, refused[0] + " first, " + refused[1] + " again");
    }

    private static Settings clients(boolean marks) {
        RequestClass c = new RequestClass("c", Effect.REPEATABLE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 1, 0, false);
        Balancer.Limits single = new Balancer.Limits(true, false, false, false, false, 4, 1000, 1, 0, 0);
        return new Settings(
                1,
                0,
                1,
                0,
                true,
                false,
                marks,
                "z",
                5000,
                1,
                List.of(),
                List.of(c),
                List.of(),
                single,
                Fixture.RULES,
                new Balancer.Goal(1, 0, 0, 0, 0, 0, 0));
    }

    private void arriveAgain(Fixture f, long left) {
        f.on(new Balancer.Arrival(nextRequest++, 0, -1, null, left, true));
    }

    /** DANGER: one zone refuses while the next one idles. */
    @Test
    void homeComesFirstOnlyWhileAdmissionIsFarOff() {
        Settings s = settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS);
        Settings priced = new Settings(
                s.seed(),
                0,
                1,
                0,
                true,
                false,
                true,
                "home",
                s.tick(),
                1,
                List.of(),
                s.classes(),
                List.of(),
                s.limits(),
                s.rules(),
                new Balancer.Goal(1, 0, 0, 0, 0.01, 0, 0));
        Fixture f = new Fixture(priced)
                .list(
                        backend("h1", "home", 0),
                        backend("h2", "home", 0),
                        backend("a1", "abroad", 0),
                        backend("a2", "abroad", 0));
        assertTrue(abroad(f, 2, 100_000) < 0.05);
        // Answers take nine tenths of the aim: the limit closes in on the requests open.
        abroad(f, 8, 900_000);
        double near = abroad(f, 8, 900_000);
        assertTrue(near > 0.3, "only " + near + " abroad");
    }

    /** The share of sends that go abroad, some at a time. */
    private double abroad(Fixture f, int atATime, long elapsed) {
        int abroad = 0;
        int before = f.sent.size();
        for (int i = 0; i < 100; i++) {
            int from = f.sent.size();
            for (int k = 0; k < atATime; k++) {
                f.arrive(nextRequest++, 20 * SECOND);
            }
            f.now += elapsed;
            for (Fixture.Sent sent : List.copyOf(f.sent.subList(from, f.sent.size()))) {
                abroad += sent.backend().startsWith("a") ? 1 : 0;
                f.on(new Balancer.AttemptEnded(sent.request(), 0, sent.backend(), true, Outcome.OK, elapsed, null));
            }
        }
        return (double) abroad / (f.sent.size() - before);
    }
}
