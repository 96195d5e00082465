package calicochute.lab.emulator;

import calicochute.lab.referee.RuleChecker;
import calicochute.lab.socket.Connection;

/** One request that a server works on. */
final class ServerJob {
    final long id;
    final Connection connection;
    final Request request;
    final RuleChecker.Dispatch dispatch;
    /** Calls to the next tier that have not been made yet. */
    int callsLeft;

    /** Work that follows the calls to the next tier, in microseconds; 0 once it has begun. */
    double lastPartWork;

    /** Work of the present part and of the last part, in microseconds. */
    double remainingWork;

    ServerJob(long id, Connection connection, Request request, RuleChecker.Dispatch dispatch) {
        this.id = id;
        this.connection = connection;
        this.request = request;
        this.dispatch = dispatch;
    }

    /** The state of one of a server's connections. */
    static final class ConnectionState {
        /** True until the first request. */
        boolean fresh = true;

        /** The server was cut off while the connection was open: it ignores all bytes and sends none. */
        boolean unreachable;

        /** Unix time in microseconds. */
        long idleSince;

        /** The request in progress; null if there is none. */
        ServerJob job;
    }
}
