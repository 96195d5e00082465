package calicochute.decision;

import java.util.Arrays;
import calicochute.decision.Balancer.Backend;

/** What Choice keeps of backends, requests and attempts: data and the links between them, no decisions. */
final class Track {
    private Track() { }

    static final class Server {
        final String id;
        /** Place in the order from which an instance takes its subset. */
        final long rank;
        Backend entry;
        boolean listed;
        /** A first call has been sent since its present start. */
        boolean polled;
        double speed = 1;
        long sampledAt;
        /** Attempts out, oldest first. */
        Attempt oldest, newest;
        int out;
        /** Most attempts out at once since its idle connections were last closed. */
        int peak;
        /** Sends to it that are saved up while it is cold. */
        double allowance;
        long allowanceAt;
        /** Scratch of one pick: effective speed, then weight. */
        double score;

        Server(String id, int order) {
            this.id = id;
            rank = hash(id, order);
        }

        private static long hash(String id, int order) {
            long h = (order + 1) * 0x9E3779B97F4A7C15L;
            for (int i = 0; i < id.length(); i++) {
                h = (h ^ id.charAt(i)) * 0xBF58476D1CE4E5B9L;
                h ^= h >>> 29;
            }
            return h;
        }
    }

    /** What an instance has seen of one class. */
    static final class Seen {
        /** Typical answer time. */
        double latency;
        /** Lowest typical answer time of late: what it takes without queues. */
        double base;
        int answers;
        /** The commonest time left at arrival, and by how many arrivals it leads. */
        long patience;
        int votes;
    }

    static final class Attempt {
        final Request request;
        final Server server;
        final int number;
        long sentAt;
        boolean out = true, mayHaveRun = true, begun;
        private Attempt older, newer;

        private Attempt(Request request, Server server, int number, long sentAt) {
            this.request = request;
            this.server = server;
            this.number = number;
            this.sentAt = sentAt;
        }

        void ended(boolean provesNotRun) {
            out = false;
            mayHaveRun = !provesNotRun;
            server.out--;
            if (older == null) { server.oldest = newer; } else { older.newer = newer; }
            if (newer == null) { server.newest = older; } else { newer.older = older; }
        }
    }

    static final class Request {
        final long id;
        final int cls;
        long arrivedAt, deadline;
        Attempt[] attempts = new Attempt[2];
        /** Attempts sent, and how many it may have, as the settings were when it arrived. */
        int sent, most;
        boolean ended;

        Request(long id, int cls, long arrivedAt, long deadline, Balancer.Limits limits) {
            this.id = id;
            this.cls = cls;
            this.arrivedAt = arrivedAt;
            this.deadline = deadline;
            most = limits.maxAttempts();
        }

        Attempt send(Server server, long now) {
            if (sent == attempts.length) { attempts = Arrays.copyOf(attempts, sent * 2); }
            Attempt a = new Attempt(this, server, sent, now);
            attempts[sent++] = a;
            a.older = server.newest;
            if (a.older == null) { server.oldest = a; } else { a.older.newer = a; }
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
            if (out()) { attempts[sent - 1].sentAt = now; }
        }

        /** One is: the newest, since none goes out beside another. */
        boolean out() { return sent > 0 && attempts[sent - 1].out; }

        boolean tried(Server server) {
            for (int i = 0; i < sent; i++) { if (attempts[i].server == server) { return true; } }
            return false;
        }

        /** The first attempt that is out or may have taken effect; null if there is none. */
        Attempt firstThatMayHaveRun() {
            for (int i = 0; i < sent; i++) { if (attempts[i].mayHaveRun) { return attempts[i]; } }
            return null;
        }
    }
}
