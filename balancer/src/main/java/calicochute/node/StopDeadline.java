package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * At a stop, makes sure that open sessions are answered before the platform kills the process, and ends streamed
 * responses that would otherwise be unfinished then. Runs on the decision thread.
 */
final class StopDeadline {
    /**
     * The time that clients have to read the rest of a streamed response. A client that reads more slowly would not
     * finish before the process is killed.
     */
    private static final long RESPONSE_TAIL_MICROS = 100_000;

    private final DecisionQueue queue;
    private final Counters counters;
    private final Collection<Exchange> openSessions;
    private final DeadlineGuards deadlineGuards;
    private final LongSupplier responseDeadline;
    private final Consumer<Dispatch> cancel;
    private final Runnable abortStreamedResponses;
    private DecisionQueue.Timer streamCut;

    /**
     * @param openSessions a view of the sessions that are open at any time
     * @param responseDeadline the time by which a stop requires all responses, by the settings in force
     * @param cancel cancels a dispatch
     * @param abortStreamedResponses closes the client connections of all responses that are being streamed
     */
    StopDeadline(
            DecisionQueue queue,
            Counters counters,
            Collection<Exchange> openSessions,
            DeadlineGuards deadlineGuards,
            LongSupplier responseDeadline,
            Consumer<Dispatch> cancel,
            Runnable abortStreamedResponses) {
        this.queue = queue;
        this.counters = counters;
        this.openSessions = openSessions;
        this.deadlineGuards = deadlineGuards;
        this.responseDeadline = responseDeadline;
        this.cancel = cancel;
        this.abortStreamedResponses = abortStreamedResponses;
    }

    /** Applies the deadline in force, at the begin of the stop and whenever it changes. */
    void apply() {
        deadlineGuards.reschedule(openSessions);
        if (streamCut != null) {
            streamCut.cancel();
        }
        streamCut = queue.schedule(Math.max(0, responseDeadline.getAsLong() - queue.now()), this::cutStreamedResponses);
    }

    /**
     * A response whose server has not finished is cut off here; what a client has not read a little later is lost with
     * its connection, whether the server has finished or not.
     */
    private void cutStreamedResponses() {
        openSessions.stream()
                .filter(exchange -> exchange.streamingResponse()
                        && exchange.latestDispatch().pending())
                .toList()
                .forEach(exchange -> {
                    cut(exchange);
                    cancel.accept(exchange.latestDispatch());
                });
        queue.schedule(RESPONSE_TAIL_MICROS, () -> {
            openSessions.stream()
                    .filter(exchange -> exchange.streamingResponse() && !exchange.responseAborted())
                    .forEach(this::cut);
            abortStreamedResponses.run();
        });
    }

    private void cut(Exchange exchange) {
        counters.count(Counter.SESSIONS_ENDED_BY_STOP);
        exchange.setResponseAborted(true);
    }
}
