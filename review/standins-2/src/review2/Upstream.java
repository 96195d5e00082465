package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in for a server: one thread a connection, one request at a time; a handler answers. */
final class Upstream {
    final String id;
    private final ServerSocket socket;

    /** A connection from a balancer. */
    static final class Connection {
        Upstream server;
        Socket socket;
        InputStream in;
        OutputStream out;

        /** Sends an answer with a body of known length. */
        void answer(int status, String fields, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes();
            if (body.length > 1 << 16) {
                out.write(head);
                out.write(body);
                return;
            }
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
            out.flush();
        }
    }

    interface Handler {
        void handle(Http.Message request, Connection connection) throws Exception;
    }

    Upstream(String id, Handler handler) throws IOException {
        this.id = id;
        socket = new ServerSocket(0, 500, Rig.LOOPBACK);
        Rig.start(() -> accept(handler));
    }

    private void accept(Handler handler) {
        try {
            while (true) {
                Connection connection = new Connection();
                connection.server = this;
                connection.socket = socket.accept();
                connection.socket.setTcpNoDelay(true);
                Rig.start(() -> serve(connection, handler));
            }
        } catch (IOException e) {
            Rig.say("server " + id + " ended");
        }
    }

    private void serve(Connection connection, Handler handler) {
        try (Socket open = connection.socket) {
            connection.in = new BufferedInputStream(open.getInputStream());
            connection.out = open.getOutputStream();
            for (Http.Message request = Http.read(connection.in);
                    request != null;
                    request = Http.read(connection.in)) {
                if (request.field("X-Txn") == null) {
                    connection.answer(404, "", new byte[0]);
                    continue;
                }
                handler.handle(request, connection);
            }
        } catch (IOException e) {
            // The balancer has closed the connection.
        } catch (Exception e) {
            Rig.say("server " + id + ": " + e);
        }
    }

    int port() {
        return socket.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** The process ends: no new connection comes up. */
    void close() throws IOException {
        socket.close();
    }
}
