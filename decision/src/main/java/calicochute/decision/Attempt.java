package calicochute.decision;

/** One sending of a request to a backend. Data, no decisions. */
final class Attempt {
    final Request request;
    final Server server;
    /** Its backend as it was listed then: one that has moved since remembers no key where it is now. */
    final Balancer.Backend to;

    final int number;
    long sentAt;
    boolean out = true, mayHaveRun = true, begun;
    /** Its neighbours among those out at its backend. */
    Attempt older, newer;

    Attempt(Request request, Server server, int number, long sentAt) {
        this.request = request;
        this.server = server;
        to = server.entry;
        this.number = number;
        this.sentAt = sentAt;
    }

    void ended(boolean provesNotRun) {
        out = false;
        mayHaveRun = !provesNotRun;
        server.out--;
        if (older == null) {
            server.oldest = newer;
        } else {
            older.newer = newer;
        }
        if (newer == null) {
            server.newest = older;
        } else {
            newer.older = older;
        }
    }
}
