package calicochute.fleet;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import java.util.List;

/**
 * Hooks through which a balancer takes part in a fleet. All are called on the decision thread, except for the two
 * reports.
 */
public interface FleetParticipant {
    /** For a balancer without a fleet: no socket, no thread, no state. */
    FleetParticipant OFF = new FleetParticipant() {};

    /** Starts taking part. */
    default void start() {}

    /** Reads the operator's file again and applies its changes. */
    default void reload() {}

    /** Stops taking part. */
    default void stop() {}

    /** A change of the server list, before the decision module is told of it. */
    default void listed(ListKind kind, List<Backend> entries) {}

    /** A session starts; returns the number of the experiment arm whose servers it may be sent to, 0 for none. */
    default int sessionStarted(Exchange exchange) {
        return 0;
    }

    /** A dispatch has ended, {@code elapsedMicros} after it was sent. */
    default void dispatchEnded(Dispatch dispatch, Outcome outcome, long elapsedMicros) {}

    /** The client has its response or is gone; dispatches may still be pending. */
    default void sessionAnswered(Exchange exchange, boolean served, boolean failed) {}

    /** The session has ended and none of its dispatches is pending. */
    default void sessionRetired(Exchange exchange) {}

    /** Report on the experiments for operators; called on any thread. */
    default String experimentsReport() {
        return "off\n";
    }

    /** Report on the fleet for operators; called on any thread. */
    default String fleetReport() {
        return "off\n";
    }
}
