package calicochute.lab.emulator;

import calicochute.lab.referee.RuleChecker;
import calicochute.lab.socket.Connection;

/** One request in a server's machine. */
final class ServerJob {
    final long id;
    final Connection connection;
    final Request request;
    final RuleChecker.Dispatch dispatch;
    int callsLeft;
    double rest;
    double own;

    ServerJob(long id, Connection connection, Request request, RuleChecker.Dispatch dispatch) {
        this.id = id;
        this.connection = connection;
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
