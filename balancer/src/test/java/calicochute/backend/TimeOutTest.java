package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Answer;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.exchange.Message;
import calicochute.metrics.Counters;
import calicochute.settings.Bounds;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A dispatch's time runs from its sending, however long this side takes to prepare it. */
class TimeOutTest {
    private static final long STEP = 3_000;

    /** A clock that goes on by a step at each look, as on a machine that is short of processor time. */
    private static final class SlowQueue implements DecisionQueue {
        final List<Long> dueAt = new ArrayList<>();
        private long now = 1_000_000;

        @Override
        public long now() {
            return now += STEP;
        }

        @Override
        public void post(Runnable task) {
        }

        @Override
        public Alarm after(long micros, Runnable task) {
            dueAt.add(now + micros);
            return () -> { };
        }
    }

    @Test
    void theTimeOutIsDueOnTimeAfterASlowStart() {
        SlowQueue queue = new SlowQueue();
        try (Connector connector = new Connector()) {
            BackendServers servers = new BackendServers(connector, queue, new Counters(), List.of(), 500_000, 30_000_000,
                Bounds.of(256, false, 64), new Silent());
            servers.address("s", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
            Exchange exchange = new Exchange(1, "1", new Message("GET", "/", List.of(), new Body.Whole(new byte[0])), 0, -1,
                new Limits(true, false, false, false, false, 3, 10, 1, 500_000, 0), false, queue.now(), 900_000, a -> { });
            Dispatch dispatch = exchange.dispatch("s", queue.now());
            queue.now();
            servers.send(dispatch, 100_000);
            assertEquals(dispatch.sentAt + 100_000, queue.dueAt.get(1), "the first alarm is the sweep's");
        }
    }

    private static final class Silent implements DispatchListener {
        @Override
        public void dispatchBegun(Dispatch dispatch, Answer answer) {
        }

        @Override
        public void dispatchEnded(Dispatch dispatch, Outcome outcome, Answer answer, double[] load) {
        }

        @Override
        public void dispatchWritten() {
        }

        @Override
        public void probeEnded(String server, Outcome outcome, long elapsed, double[] load) {
        }
    }
}
