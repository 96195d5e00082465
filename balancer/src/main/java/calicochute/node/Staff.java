package calicochute.node;

import calicochute.admin.Operations;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.FleetPart;
import calicochute.lifecycle.Lifecycle;
import calicochute.metrics.OperatorStats;
import java.util.function.Consumer;

/** What operators ask of a balancer, and whether its clients are wanted. */
final class Staff implements Operations {
    /** How often clients' connections are looked at while they are sent away. */
    private static final long LOOK_AGAIN = 100_000;

    private final DecisionQueue queue;
    private final Membership membership;
    private final OperatorStats stats;
    private final FleetPart fleet;
    private Runnable endIdle = () -> {};
    private volatile Lifecycle lifecycle = Lifecycle.serving();
    private volatile boolean listening;

    Staff(DecisionQueue queue, Membership membership, OperatorStats stats, FleetPart fleet) {
        this.queue = queue;
        this.membership = membership;
        this.stats = stats;
        this.fleet = fleet;
    }

    /** How clients' idle connections are ended; before the start. */
    void endsIdle(Runnable how) {
        endIdle = how;
    }

    /** Clients can connect from now on. */
    void listening() {
        listening = true;
    }

    Lifecycle lifecycle() {
        return lifecycle;
    }

    /** The end has come; on the decision thread. */
    void end(boolean accompanied) {
        lifecycle = lifecycle.stop(queue.now(), accompanied);
        endIdle();
    }

    @Override
    public String experiments() {
        return fleet.experiments();
    }

    @Override
    public String fleet() {
        return fleet.fleet();
    }

    @Override
    public boolean ready() {
        return listening && membership.any();
    }

    @Override
    public String stats() {
        return stats.text();
    }

    @Override
    public void cordon(String server, Consumer<Result> done) {
        membership.change(server, o -> o.with(server, System.currentTimeMillis()), done);
    }

    @Override
    public void uncordon(String server, Consumer<Result> done) {
        membership.change(server, o -> o.without(server), done);
    }

    @Override
    public void quiesce(Consumer<Result> done) {
        queue.post(() -> {
            lifecycle = lifecycle.quiesce(queue.now());
            endIdle();
            done.accept(Result.DONE);
        });
    }

    @Override
    public void resume(Consumer<Result> done) {
        queue.post(() -> {
            lifecycle = lifecycle.resume();
            done.accept(Result.DONE);
        });
    }

    /** Ends clients' idle connections for as long as the lifecycle says so. */
    private void endIdle() {
        if (lifecycle.closesAfterResponse()) {
            if (lifecycle.closesIdleConnections(queue.now())) {
                endIdle.run();
            }
            queue.schedule(LOOK_AGAIN, this::endIdle);
        }
    }
}
