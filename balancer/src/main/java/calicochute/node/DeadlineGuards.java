package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Exchange;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * An alarm for each session that is owed its answer, due shortly before the session's time or the process's is over:
 * guards the rule that no session is lost, whatever the module does. On the decision thread.
 */
final class DeadlineGuards {
    private final DecisionQueue queue;
    private final LongSupplier stopBy;
    private final Consumer<Exchange> overdue;
    private final Map<Long, DecisionQueue.Timer> alarms = new HashMap<>();

    /** @param stopBy when a stop has everything answered, as things are */
    DeadlineGuards(DecisionQueue queue, LongSupplier stopBy, Consumer<Exchange> overdue) {
        this.queue = queue;
        this.stopBy = stopBy;
        this.overdue = overdue;
    }

    void guard(Exchange exchange) {
        long due = Math.min(exchange.deadline(), stopBy.getAsLong());
        long in = Math.max(Margins.answer(exchange.clientTimeoutMicros), due - queue.now())
                - Margins.guard(exchange.clientTimeoutMicros);
        alarms.put(exchange.id, queue.schedule(in, () -> overdue.accept(exchange)));
    }

    void drop(Exchange exchange) {
        DecisionQueue.Timer alarm = alarms.remove(exchange.id);
        if (alarm != null) {
            alarm.cancel();
        }
    }

    /** The process's time has changed: sets those anew that there are. */
    void renew(Collection<Exchange> open) {
        open.stream().filter(e -> alarms.containsKey(e.id)).forEach(e -> {
            drop(e);
            guard(e);
        });
    }
}
