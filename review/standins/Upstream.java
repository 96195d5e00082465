import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server of a tier: reads requests one at a time on each connection, and answers as its behaviour says. */
final class Upstream implements AutoCloseable {
    /** Answers a request that has arrived whole. Returns false to end the connection. */
    interface Behaviour {
        boolean answer(Socket connection, Http.Message request) throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket socket;
    private final Behaviour behaviour;

    Upstream(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        socket = new ServerSocket(0, 600, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Writes a 200 with a body. */
    static void served(Socket connection, byte[] body) throws IOException {
        byte[] head = Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        connection.getOutputStream().write(all);
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            Threads.start(id + "-connection", () -> {
                try (connection) {
                    connection.setTcpNoDelay(true);
                    BufferedInputStream in = Http.buffered(connection.getInputStream());
                    Http.Message request = Http.read(in);
                    while (request != null && behaviour.answer(connection, request)) {
                        request = Http.read(in);
                    }
                }
            });
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
