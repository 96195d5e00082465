package calicochute.decision;

import java.util.Arrays;

/** A request and its attempts. Data and the links between them, no decisions. */
final class Request {
    final long id;
    final int cls;
    long arrivedAt, deadline;
    Attempt[] attempts = new Attempt[2];
    /** Attempts sent, and how many it may have, as the settings were when it arrived. */
    int sent, most;

    boolean ended;
    /** The arm it belongs in; 0 for any backend. */
    int arm;

    Request(long id, int cls, long arrivedAt, long deadline, int most) {
        this.id = id;
        this.cls = cls;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.most = most;
    }

    Attempt send(Server server, long now) {
        if (sent == attempts.length) {
            attempts = Arrays.copyOf(attempts, sent * 2);
        }
        Attempt a = new Attempt(this, server, sent, now);
        attempts[sent++] = a;
        a.older = server.newest;
        if (a.older == null) {
            server.oldest = a;
        } else {
            a.older.newer = a;
        }
        server.newest = a;
        server.out++;
        server.peak = Math.max(server.peak, server.out);
        server.polled = true;
        return a;
    }

    /** Its last byte has come: all times count from here. */
    void whole(long now) {
        deadline += now - arrivedAt;
        arrivedAt = now;
        if (out()) {
            newest().sentAt = now;
        }
    }

    /** One is: the newest, since none goes out beside another. */
    boolean out() {
        return sent > 0 && newest().out;
    }

    Attempt newest() {
        return attempts[sent - 1];
    }

    boolean tried(Server server) {
        for (int i = 0; i < sent; i++) {
            if (attempts[i].server == server) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that is out or may have taken effect; null if there is none. */
    Attempt firstThatMayHaveRun() {
        for (int i = 0; i < sent; i++) {
            if (attempts[i].mayHaveRun) {
                return attempts[i];
            }
        }
        return null;
    }
}
