package calicochute.example;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.*;
import java.util.List;

public final class Example {
    private static String done = "";

    /** What the proxy does when asked; a real one opens connections here. */
    private static final class Proxy implements Actions {
        @Override
        public void send(long request, String backend, long timeout) {
            done = "send to " + backend;
        }

        @Override
        public void refuse(long request, long retryAfter) {
            done = "refuse";
        }

        @Override
        public void fail(long request) {
            done = "fail";
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
        long now = 1_000_000;
        balancer.on(
                now,
                new BackendList(
                        ListKind.FULL, List.of(new Backend("b1", "zone-1", 0, 1, BackendState.READY, 0, "std"))),
                proxy);
        balancer.on(now + 5, new Arrival(7, 0, -1, null, 2_000_000, false), proxy);
        String first = done;
        balancer.on(now + 9_000, new AttemptEnded(7, 0, "b1", true, Outcome.OK, 8_995, null), proxy);
        return first;
    }
}
