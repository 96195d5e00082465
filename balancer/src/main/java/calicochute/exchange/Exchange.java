package calicochute.exchange;

import calicochute.decision.Balancer.Limits;
import java.util.ArrayList;
import java.util.List;

/**
 * One session: what the client sent, by when it wants its answer, which dispatches were made for it and whether it has
 * been answered. Client side and servers' side meet only here. What changes is the decision thread's own.
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
    /** How long the client waits, in microseconds. */
    public final long patience;
    /** When the last byte came, or the session's begin until then: microseconds of the decision queue. */
    private long arrivedAt;

    private boolean whole;
    private boolean passing;
    private boolean cut;
    private final Respondent respondent;
    private final List<Dispatch> dispatches = new ArrayList<>(3);
    private volatile boolean closed;
    /** Known before the decision thread comes to it, which may be late. */
    private volatile boolean clientLeft;

    public Exchange(
            long id,
            String clientId,
            Message message,
            int classIndex,
            int tenantIndex,
            Limits limits,
            boolean retry,
            long arrivedAt,
            long patience,
            Respondent respondent) {
        this.id = id;
        this.clientId = clientId;
        this.message = message;
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.limits = limits;
        this.retry = retry;
        this.arrivedAt = arrivedAt;
        this.patience = patience;
        whole = message.body() instanceof Body.Whole;
        this.respondent = respondent;
    }

    /** True once the last byte of the session has come: only then does its time run. */
    public boolean whole() {
        return whole;
    }

    /** The last byte has come. */
    public void arrived(long now) {
        whole = true;
        arrivedAt = now;
    }

    public long arrivedAt() {
        return arrivedAt;
    }

    /** When the client will have given up; as good as never while the session is not whole. */
    public long deadline() {
        return whole ? arrivedAt + patience : Long.MAX_VALUE / 2;
    }

    /** True if the body comes in pieces and some have been handed on: there can't be another dispatch. */
    public boolean spent() {
        return message.body() instanceof Body.Streamed body && body.pipe().taken();
    }

    /** Its answer is being passed on in pieces. */
    public boolean passing() {
        return passing;
    }

    /** Its answer in pieces has been broken off on this side. */
    public boolean cut() {
        return cut;
    }

    public void cut(boolean here) {
        cut = here;
    }

    /** An answer in pieces has begun, or is over. */
    public void passing(boolean under) {
        passing = under;
    }

    /** Adds the next dispatch, which must have left before {@code notAfter}; they are numbered from 0. */
    public Dispatch dispatch(String server, long now, long notAfter) {
        Dispatch dispatch = new Dispatch(this, dispatches.size(), server, now, notAfter);
        dispatches.add(dispatch);
        return dispatch;
    }

    /** The dispatch of that number, or null. */
    public Dispatch dispatch(int number) {
        return number >= 0 && number < dispatches.size() ? dispatches.get(number) : null;
    }

    /** The newest dispatch, or null. */
    public Dispatch latest() {
        return dispatch(dispatches.size() - 1);
    }

    public int dispatches() {
        return dispatches.size();
    }

    public boolean anyOut() {
        return dispatches.stream().anyMatch(Dispatch::out);
    }

    public boolean mayHaveRun() {
        return firstThatMayHaveRun() != null;
    }

    /** Or null. */
    public Dispatch firstThatMayHaveRun() {
        return dispatches.stream().filter(Dispatch::mayHaveRun).findFirst().orElse(null);
    }

    /** Those that have not ended. */
    public List<Dispatch> out() {
        return dispatches.stream().filter(Dispatch::out).toList();
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

    /** The client has closed its connection; any thread may say so. */
    public void clientLeft() {
        clientLeft = true;
    }

    /** True as long as there is someone to answer: nothing is begun for it otherwise. Any thread may ask. */
    public boolean wantsAnswer() {
        return !closed && !clientLeft;
    }

    /** True once the session has its answer or needs none. */
    public boolean closed() {
        return closed;
    }
}
