package calicochute.exchange;

/** The client of a session, independently of the client protocol. */
public interface SessionClient {
    /** Sends the final response; must not block. */
    void send(Response response);

    /** Updates the session's {@link RequestProgress} with what waits unread; must not block. */
    void observeUnread(long nowMicros);
}
