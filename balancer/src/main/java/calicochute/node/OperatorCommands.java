package calicochute.node;

import calicochute.admin.Operations;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.FleetParticipant;
import calicochute.lifecycle.Lifecycle;
import calicochute.metrics.OperatorStats;
import java.util.function.Consumer;

/** The operators' commands to a balancer, and whether it accepts clients. */
final class OperatorCommands implements Operations {
    /** Interval of closing idle client connections while clients are sent away. */
    private static final long IDLE_CLOSE_INTERVAL_MICROS = 100_000;

    private final DecisionQueue queue;
    private final Membership membership;
    private final OperatorStats stats;
    private final FleetParticipant fleet;
    private Runnable closeIdleConnections = () -> {};
    private volatile Lifecycle lifecycle = Lifecycle.serving();
    private volatile boolean listening;

    OperatorCommands(DecisionQueue queue, Membership membership, OperatorStats stats, FleetParticipant fleet) {
        this.queue = queue;
        this.membership = membership;
        this.stats = stats;
        this.fleet = fleet;
    }

    /** Sets the action that closes idle client connections; called before the start. */
    void onCloseIdle(Runnable action) {
        closeIdleConnections = action;
    }

    /** Marks that clients can connect. */
    void listening() {
        listening = true;
    }

    Lifecycle lifecycle() {
        return lifecycle;
    }

    /** Starts the stop of the process after SIGTERM; called on the decision thread. */
    void stop(boolean accompanied) {
        lifecycle = lifecycle.stop(queue.now(), accompanied);
        closeIdle();
    }

    @Override
    public String experiments() {
        return fleet.experimentsReport();
    }

    @Override
    public String fleet() {
        return fleet.fleetReport();
    }

    @Override
    public boolean ready() {
        return listening && membership.everListed();
    }

    @Override
    public String stats() {
        return stats.text();
    }

    @Override
    public void cordon(String server, Consumer<Result> done) {
        membership.changeOutages(server, outages -> outages.with(server, System.currentTimeMillis()), done);
    }

    @Override
    public void uncordon(String server, Consumer<Result> done) {
        membership.changeOutages(server, outages -> outages.without(server), done);
    }

    @Override
    public void quiesce(Consumer<Result> done) {
        queue.post(() -> {
            lifecycle = lifecycle.quiesce(queue.now());
            closeIdle();
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

    /** Closes idle client connections repeatedly, for as long as the lifecycle requires it. */
    private void closeIdle() {
        if (lifecycle.closesAfterResponse()) {
            if (lifecycle.closesIdleConnections(queue.now())) {
                closeIdleConnections.run();
            }
            queue.schedule(IDLE_CLOSE_INTERVAL_MICROS, this::closeIdle);
        }
    }
}
