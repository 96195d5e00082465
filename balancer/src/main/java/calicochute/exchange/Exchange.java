package calicochute.exchange;

import calicochute.decision.Balancer.Limits;
import java.util.ArrayList;
import java.util.List;

/**
 * One session: what the client sent, by when it wants its answer, which dispatches were made for it and whether it
 * has been answered. Client side and servers' side meet only here. What changes is the decision thread's own.
 */
public final class Exchange {
    /** The session's number, unique in this process. */
    public final long id;
    /** The client's own name for the session. */
    public final String clientId;
    public final Message message;
    public final int classIndex;
    public final int tenantIndex;
    /** What the site permitted when it began; holds to its end. */
    public final Limits limits;
    public final boolean retry;
    /** When the last byte came, and when the client will have given up: microseconds of the decision queue. */
    public final long arrivedAt;
    public final long deadline;
    private final Respondent respondent;
    private final List<Dispatch> dispatches = new ArrayList<>(3);
    private boolean closed;

    public Exchange(long id, String clientId, Message message, int classIndex, int tenantIndex, Limits limits,
                    boolean retry, long arrivedAt, long deadline, Respondent respondent) {
        this.id = id;
        this.clientId = clientId;
        this.message = message;
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.limits = limits;
        this.retry = retry;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.respondent = respondent;
    }

    /** Adds the next dispatch; they are numbered from 0. */
    public Dispatch dispatch(String server, long now) {
        Dispatch dispatch = new Dispatch(this, dispatches.size(), server, now);
        dispatches.add(dispatch);
        return dispatch;
    }

    /** The dispatch of that number, or null. */
    public Dispatch dispatch(int number) {
        return number >= 0 && number < dispatches.size() ? dispatches.get(number) : null;
    }

    public int dispatches() {
        return dispatches.size();
    }

    public boolean anyOut() {
        return dispatches.stream().anyMatch(Dispatch::out);
    }

    public boolean mayHaveRun() {
        return dispatches.stream().anyMatch(Dispatch::mayHaveRun);
    }

    /** Gives the final answer, unless the session has had one or its client is gone; tells whether it did. */
    public boolean answer(Answer answer) {
        if (closed) {
            return false;
        }
        closed = true;
        respondent.answer(answer);
        return true;
    }

    /** The client is gone: no answer is owed any more. */
    public void abandon() {
        closed = true;
    }

    /** True once the session has its answer or needs none. */
    public boolean closed() {
        return closed;
    }
}
