package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A timer per unanswered session, due shortly before the client's timeout or the stop of the process. It makes sure
 * that each session gets a response, whatever the decision module does. Runs on the decision thread.
 */
final class DeadlineGuards {
    private final DecisionQueue queue;
    private final LongSupplier stopDeadline;
    private final Consumer<Exchange> overdue;
    private final Map<Long, DecisionQueue.Timer> timers = new HashMap<>();

    /** @param stopDeadline time by which a stop of the process requires all responses */
    DeadlineGuards(DecisionQueue queue, LongSupplier stopDeadline, Consumer<Exchange> overdue) {
        this.queue = queue;
        this.stopDeadline = stopDeadline;
        this.overdue = overdue;
    }

    /** Starts the timer of a session. */
    void guard(Exchange exchange) {
        long dueMicros = Math.min(exchange.deadline(), stopDeadline.getAsLong());
        long delayMicros = Math.max(Margins.answerMicros(exchange.clientTimeoutMicros), dueMicros - queue.now())
                - Margins.guardMicros(exchange.clientTimeoutMicros);
        timers.put(exchange.id, queue.schedule(delayMicros, () -> overdue.accept(exchange)));
    }

    /** Cancels the timer of a session, if it has one. */
    void cancel(Exchange exchange) {
        DecisionQueue.Timer timer = timers.remove(exchange.id);
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Restarts the existing timers after a change of the stop deadline. */
    void reschedule(Collection<Exchange> exchanges) {
        exchanges.stream().filter(exchange -> timers.containsKey(exchange.id)).forEach(exchange -> {
            cancel(exchange);
            guard(exchange);
        });
    }
}
