package calicochute.example;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.Goal;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import java.util.List;

/** How a proxy uses the decision module: it creates a balancer, delivers events and carries out the actions. */
public final class Example {
    /** The latest decision on a request. */
    private static String decision = "";

    /** Carries out the balancer's actions; a real proxy would open connections and send requests here. */
    private static final class Proxy implements Actions {
        @Override
        public void send(long request, String backend, long timeout) {
            decision = "send to " + backend;
        }

        @Override
        public void refuse(long request, long retryAfter) {
            decision = "refuse";
        }

        @Override
        public void fail(long request) {
            decision = "fail";
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void startTimer(long delay, int purpose, long subject) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void probe(String backend) {}

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {}

        @Override
        public void log(String text) {}
    }

    /** Delivers a list with one backend, a request and its response; returns the decision on the request. */
    public static String run() {
        RequestClass read =
                new RequestClass("read", Effect.REPEATABLE, KeyScope.ALL, 0, 500_000, 2_000_000, 1, 0, false);
        Settings settings = new Settings(
                42,
                0,
                1,
                0,
                true,
                false,
                true,
                "zone-1",
                1_000,
                1,
                List.of(),
                List.of(read),
                List.of(),
                new Limits(true, true, false, false, false, 3, 1000, 1, 200_000, 0),
                new Rules(20_000, 0, 0.2, 20_000_000, 1_000_000, 3, 2_000_000),
                new Goal(1, 0, 0, 0, 0, 0, 0));
        Balancer balancer = Balancer.create(settings);
        Actions proxy = new Proxy();
        long nowMicros = 1_000_000;
        balancer.on(
                nowMicros,
                new BackendList(
                        ListKind.FULL, List.of(new Backend("b1", "zone-1", 0, 1, BackendState.READY, 0, "std"))),
                proxy);
        balancer.on(nowMicros + 5, new Arrival(7, 0, -1, null, 2_000_000, false), proxy);
        String first = decision;
        balancer.on(nowMicros + 9_000, new AttemptEnded(7, 0, "b1", true, Outcome.OK, 8_995, null), proxy);
        return first;
    }
}
