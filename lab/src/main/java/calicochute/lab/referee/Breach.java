package calicochute.lab.referee;

/** A rule that was broken: by which balancer, over which session (or server), and the times, in Unix microseconds. */
public record Breach(Rule rule, String balancer, String session, String server, long at, String details) {
    @Override
    public String toString() {
        return rule + " balancer=" + balancer + (session.isEmpty() ? "" : " session=" + session)
                + (server.isEmpty() ? "" : " server=" + server) + " at=" + at + " " + details;
    }
}
