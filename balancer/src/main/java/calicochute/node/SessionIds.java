package calicochute.node;

import calicochute.exchange.Exchange;
import calicochute.takeover.RequestIdFile;
import calicochute.takeover.SharedFolder;
import java.util.HashSet;
import java.util.Set;

/**
 * The client ids of sessions, so that no request is executed twice because its id comes again: while its session is
 * open, after that, or at the other process of an upgrade. Runs on the decision thread.
 */
final class SessionIds {
    private final Set<String> open = new HashSet<>();
    private final ExecutedRequests executed = new ExecutedRequests();
    /** The ids that other processes of this balancer must not send on again; null if there are none. */
    private final RequestIdFile shared;

    /** @param folder the folder that the processes of this balancer share; null if this process is the only one */
    SessionIds(SharedFolder folder) {
        shared = folder == null ? null : new RequestIdFile(folder, ExecutedRequests.RETENTION_MICROS);
    }

    /**
     * Opens a session; returns false, and does nothing, if another one of its id is open or may have been executed.
     *
     * @param repeatable the request may be executed again
     */
    boolean open(Exchange exchange, boolean repeatable, long now) {
        return (repeatable || !mayHaveBeenExecuted(exchange.clientId, now)) && open.add(exchange.clientId);
    }

    private boolean mayHaveBeenExecuted(String id, long now) {
        return executed.contains(id, now) || shared != null && shared.contains(id);
    }

    /** Called before a dispatch of the session is sent. */
    void dispatching(Exchange exchange, boolean repeatable) {
        if (shared != null && !repeatable) {
            shared.add(exchange.clientId);
        }
    }

    /** The session has ended. */
    void close(Exchange exchange, boolean repeatable, long now) {
        open.remove(exchange.clientId);
        if (!repeatable && exchange.mayHaveExecuted()) {
            executed.add(exchange.clientId, now);
        }
    }
}
