package calicochute.metrics;

/**
 * The counters that {@code GET /counters} answers, each under its constant's name in lower case. The suffix of a
 * {@code DISPATCHES_} counter that is named after an outcome of the decision module is that outcome's constant.
 */
public enum Counter {
    SESSIONS_TAKEN,
    SESSIONS_SERVED,
    SESSIONS_DENIED,
    SESSIONS_FAILED,
    SESSIONS_CLIENT_GONE,
    SESSIONS_BAD_INPUT,
    /** Sessions denied on arrival because the maximum number was open. */
    SESSIONS_OVER_LIMIT,
    /** Sessions answered by the deadline guard because the decision module had not answered them in time. */
    SESSIONS_ENDED_BY_DEADLINE,
    /** Sessions answered or cut short because the process is about to be killed. */
    SESSIONS_ENDED_BY_STOP,
    /**
     * Sessions denied because input of the client was unread for so long that it may have left without being noticed.
     */
    SESSIONS_CLIENT_UNOBSERVED,
    /** Sessions whose request body was still arriving when they began. */
    SESSIONS_IN_PIECES,
    /** Responses passed on while their body was still arriving from the backend server. */
    ANSWERS_IN_PIECES,
    /** Request bodies streamed only because there was no memory to buffer them. */
    REQUESTS_STREAMED_FOR_ROOM,
    /** Streamed responses whose server sent nothing for some seconds; they go on as long as their client stays. */
    ANSWERS_STALLED,
    CLIENTS_ACCEPTED,
    CLIENTS_CLOSED_SLOW,
    CLIENTS_CLOSED_FLOODING,
    CLIENTS_CLOSED_IDLE,
    /** Client connections closed to free a file descriptor. */
    CLIENTS_CLOSED_FOR_ROOM,
    /** Pauses of an acceptor after a failed accept. */
    ACCEPTOR_WAITS,
    ADMIN_CALLS,
    ADMIN_CALLS_WRONG,
    /** Connections to the admin address closed before a complete call had arrived. */
    ADMIN_CALLERS_CLOSED,
    DISPATCHES_SENT,
    DISPATCHES_OK,
    DISPATCHES_ERROR,
    DISPATCHES_FULL,
    DISPATCHES_TIMED_OUT,
    DISPATCHES_CONNECT_FAILED,
    DISPATCHES_RESET,
    /** Dispatches whose request the backend server rejected as invalid. */
    DISPATCHES_REJECTED,
    DISPATCHES_CANCELLED,
    DISPATCHES_MOOT,
    /** Dispatches that were never sent because their session or their backend server was gone first. */
    DISPATCHES_HELD_BACK,
    CONNECTIONS_OPENED,
    CONNECTIONS_REUSED,
    /** Dispatches that waited until a connection was free again. */
    CONNECTIONS_WAITED_FOR,
    CONNECTIONS_CLOSED_IDLE,
    /** Idle connections that the backend server closed before the pool did. */
    CONNECTIONS_ENDED_EARLY,
    /** Connections closed because data arrived on them that no request had asked for. */
    CONNECTIONS_SPOILT,
    /** Connections established after the connect timeout had passed. */
    CONNECTIONS_LATE,
    /** Second connections opened because a first one was slow to be established. */
    CONNECTIONS_TRIED_AGAIN,
    /** Connections opened ahead of demand. */
    SPARES_OPENED,
    /** Connections opened ahead of demand that were not established or ended before their first use. */
    SPARES_FAILED,
    DISCOVERY_CALLS,
    DISCOVERY_ANSWERS,
    DISCOVERY_FAILURES,
    DISCOVERY_MALFORMED,
    /** Discovery's lists of changes that were dropped because they are older than the list held. */
    DISCOVERY_OLDER,
    /** Discovery calls made anew because an earlier one got no answer. */
    DISCOVERY_REOPENED,
    RELOADS,
    RELOADS_FAILED,
    /** Exceptions thrown by tasks on the decision thread. */
    MODULE_FAULTS,
    INVARIANTS_BROKEN
}
