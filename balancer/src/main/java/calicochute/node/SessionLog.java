package calicochute.node;

import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.metrics.Log;

/** Log lines about sessions that were not served and dispatches that brought no answer. Times are in microseconds. */
final class SessionLog {
    private static final int MICROS_PER_MS = 1000;

    private SessionLog() {}

    /** Logs how a session ended that was not served. */
    static void ended(Exchange exchange, String reason, long now) {
        Log.info(
                "session-ended",
                "id=" + exchange.clientId + " reason=" + reason + " dispatches=" + exchange.dispatchCount()
                        + " request_complete=" + exchange.requestComplete()
                        + " ms=" + (now - exchange.receivedAt()) / MICROS_PER_MS
                        + " ms_left=" + (exchange.deadline(now) - now) / MICROS_PER_MS);
    }

    /** Logs the end of a dispatch, unless it brought an answer. */
    static void dispatchEnded(Dispatch dispatch, Outcome outcome, long now) {
        if (outcome != Outcome.OK) {
            Log.info(
                    "dispatch-ended",
                    "id=" + dispatch.exchange.clientId + " number=" + dispatch.number + " server=" + dispatch.server
                            + " outcome=" + outcome + " ms=" + (now - dispatch.sentAt) / MICROS_PER_MS);
        }
    }
}
