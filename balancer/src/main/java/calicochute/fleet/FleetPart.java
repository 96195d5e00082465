package calicochute.fleet;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import java.util.List;

/** What a balancer tells the fleet's part of it, and asks it; all on the decision thread but the two texts. */
public interface FleetPart {
    /** Where the operator's file or the settings say nothing of a fleet: no socket, no thread, nothing kept. */
    FleetPart OFF = new FleetPart() {};

    /** From now on. */
    default void start() {}

    /** The operator's file was read anew. */
    default void reload() {}

    default void stop() {}

    /** The module is about to hear of these. */
    default void listed(ListKind kind, List<Backend> entries) {}

    /** A session begins; the arm that the module is to keep it in, 0 for none. */
    default int begun(Exchange exchange) {
        return 0;
    }

    default void dispatched(Dispatch dispatch, Outcome outcome, long elapsed) {}

    /** Its client has an answer, or is gone; dispatches may still be out. */
    default void answered(Exchange exchange, boolean served, boolean failed) {}

    /** Nothing of it is out any more. */
    default void retired(Exchange exchange) {}

    /** The experiments, for staff; any thread. */
    default String experiments() {
        return "off\n";
    }

    /** The fleet, for staff; any thread. */
    default String fleet() {
        return "off\n";
    }
}
