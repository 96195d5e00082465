package calicochute.lab.referee;

/**
 * A breach of a rule: the balancer, the session and the server, each empty if not known, and the Unix time in
 * microseconds.
 */
public record Breach(Rule rule, String balancer, String session, String server, long at, String details) {
    @Override
    public String toString() {
        return rule + " balancer=" + balancer + (session.isEmpty() ? "" : " session=" + session)
                + (server.isEmpty() ? "" : " server=" + server) + " at=" + at + " " + details;
    }
}
