package calicochute.node;

import calicochute.admin.Operations;
import calicochute.exchange.DecisionQueue;
import calicochute.fleet.FleetPart;
import calicochute.metrics.Figures;
import calicochute.presence.Presence;
import java.util.function.Consumer;

/** What operators ask of a balancer, and whether its clients are wanted. */
final class Staff implements Operations {
    /** How often clients' connections are looked at while they are sent away. */
    private static final long LOOK_AGAIN = 100_000;

    private final DecisionQueue queue;
    private final Membership membership;
    private final Figures figures;
    private final FleetPart fleet;
    private Runnable endIdle = () -> {};
    private volatile Presence presence = Presence.serving();
    private volatile boolean listening;

    Staff(DecisionQueue queue, Membership membership, Figures figures, FleetPart fleet) {
        this.queue = queue;
        this.membership = membership;
        this.figures = figures;
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

    Presence presence() {
        return presence;
    }

    /** The end has come; on the decision thread. */
    void end(boolean accompanied) {
        presence = presence.end(queue.now(), accompanied);
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
    public boolean serves() {
        return listening && membership.any();
    }

    @Override
    public String figures() {
        return figures.text();
    }

    @Override
    public void takeOut(String server, Consumer<Result> done) {
        membership.change(server, o -> o.with(server, System.currentTimeMillis()), done);
    }

    @Override
    public void callBack(String server, Consumer<Result> done) {
        membership.change(server, o -> o.without(server), done);
    }

    @Override
    public void quiesce(Consumer<Result> done) {
        queue.post(() -> {
            presence = presence.quiesce(queue.now());
            endIdle();
            done.accept(Result.DONE);
        });
    }

    @Override
    public void resume(Consumer<Result> done) {
        queue.post(() -> {
            presence = presence.resume();
            done.accept(Result.DONE);
        });
    }

    /** Ends clients' idle connections for as long as the presence says so. */
    private void endIdle() {
        if (presence.lastAnswers()) {
            if (presence.endsIdle(queue.now())) {
                endIdle.run();
            }
            queue.schedule(LOOK_AGAIN, this::endIdle);
        }
    }
}
