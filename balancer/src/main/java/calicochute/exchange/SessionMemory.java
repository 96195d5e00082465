package calicochute.exchange;

import java.util.ArrayList;
import java.util.List;

/**
 * The bytes reserved for the bodies of one session. The reservation for the request ends with the session, when no
 * dispatch can need the request any more. Those for responses end when the client connection has released the session
 * too, since it may still be writing one. Any thread may call.
 */
public final class SessionMemory {
    private final ByteBudget budget;
    private final ByteBudget.Share request;
    private final List<ByteBudget.Share> responses = new ArrayList<>(1);
    private boolean sessionEnded;
    private boolean connectionReleased;

    public SessionMemory(ByteBudget budget) {
        this.budget = budget;
        request = budget.newShare();
    }

    /** The share of the request body. */
    public ByteBudget.Share request() {
        return request;
    }

    /** A share for the response body of a further dispatch. */
    public synchronized ByteBudget.Share newResponse() {
        ByteBudget.Share share = budget.newShare();
        responses.add(share);
        return share;
    }

    /** The session is answered or abandoned, and no dispatch of it is pending. */
    public synchronized void endSession() {
        sessionEnded = true;
        request.close();
        closeResponses();
    }

    /** The client connection has written the response, or has ended. */
    public synchronized void releaseConnection() {
        connectionReleased = true;
        closeResponses();
    }

    private void closeResponses() {
        if (sessionEnded && connectionReleased) {
            responses.forEach(ByteBudget.Share::close);
        }
    }
}
