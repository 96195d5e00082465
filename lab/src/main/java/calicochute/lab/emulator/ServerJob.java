package calicochute.lab.emulator;

import calicochute.lab.referee.Referee;
import calicochute.lab.socket.Link;

/** One request in a server's machine. */
final class ServerJob {
    final long id;
    final Link link;
    final Request request;
    final Referee.Dispatch dispatch;
    int callsLeft;
    double rest;
    double own;

    ServerJob(long id, Link link, Request request, Referee.Dispatch dispatch) {
        this.id = id;
        this.link = link;
        this.request = request;
        this.dispatch = dispatch;
    }

    /** What a server keeps of a connection. */
    static final class Held {
        boolean fresh = true;
        boolean dead;
        long idleSince;
        ServerJob job;
    }
}
