package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import calicochute.exchange.Margins;
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
    /** The progress of an arriving request is checked this often within its client's timeout. */
    private static final int CHECKS_PER_TIMEOUT = 4;

    private static final long MIN_CHECK_INTERVAL_MICROS = 25_000;

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

    /** Starts the timer of a session, or restarts it. */
    void guard(Exchange exchange) {
        cancel(exchange);
        long now = queue.now();
        // A request that arrives at the end of a stop is answered at once, but not before it has had a chance.
        schedule(exchange, now, Math.max(dueAt(exchange, now), now + earliestResponseMicros(exchange)));
    }

    private static long earliestResponseMicros(Exchange exchange) {
        return Margins.responseMicros(exchange.clientTimeoutMicros) - Margins.guardMicros(exchange.clientTimeoutMicros);
    }

    private long dueAt(Exchange exchange, long now) {
        long deadline = exchange.deadline(now);
        // A client that is known to be sending still is owed nothing yet, not even at a stop.
        long latest = exchange.awaitsClient() ? deadline : Math.min(deadline, stopDeadline.getAsLong());
        return latest - Margins.guardMicros(exchange.clientTimeoutMicros);
    }

    private void schedule(Exchange exchange, long now, long dueAt) {
        long checkMicros = exchange.requestComplete()
                ? Long.MAX_VALUE
                : Math.max(MIN_CHECK_INTERVAL_MICROS, exchange.clientTimeoutMicros / CHECKS_PER_TIMEOUT);
        long delayMicros = Math.min(dueAt - now, checkMicros);
        timers.put(exchange.id, queue.schedule(delayMicros, () -> check(exchange)));
    }

    private void check(Exchange exchange) {
        long now = queue.now();
        exchange.observeUnread(now);
        long dueAt = dueAt(exchange, now);
        if (exchange.requestComplete() || now >= dueAt) {
            overdue.accept(exchange);
        } else {
            schedule(exchange, now, dueAt);
        }
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
        exchanges.stream()
                .filter(exchange -> timers.containsKey(exchange.id))
                .toList()
                .forEach(this::guard);
    }
}
