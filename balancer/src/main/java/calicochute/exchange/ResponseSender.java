package calicochute.exchange;

/** Sends the response of a session to its client, independently of the client protocol. */
public interface ResponseSender {
    /** Sends the final response; must not block. */
    void send(Response response);
}
