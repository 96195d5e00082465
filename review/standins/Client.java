import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection: one request at a time, kept until one side ends it. */
final class Client implements AutoCloseable {
    private final InetSocketAddress balancer;
    private Socket socket;
    private InputStream in;

    Client(InetSocketAddress balancer) {
        this.balancer = balancer;
    }

    /** The bytes of a request as the protocol page gives it. */
    static byte[] request(String id, String lane, int remainingMs, byte[] body) {
        boolean get = lane.equals("view-map");
        byte[] head = Http.bytes((get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
                + "\r\nX-Lane: " + lane + "\r\nX-Org: state-archive\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (lane.equals("register-scan") ? "Idempotency-Key: " + id + id + "\r\n" : "")
                + (get ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head);
        if (!get) {
            all.writeBytes(body);
        }
        return all.toByteArray();
    }

    /** Opens a connection, unless one is open. */
    void open() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(balancer, 2000);
            in = Http.buffered(socket.getInputStream());
        }
    }

    /**
     * Sends a request and waits for its answer. Null if the connection ended or nothing came; the connection is then
     * closed.
     */
    Http.Message call(byte[] request, int waitMs) throws IOException {
        open();
        socket.setSoTimeout(waitMs);
        try {
            socket.getOutputStream().write(request);
            Http.Message answer = Http.read(in);
            if (answer == null || "close".equalsIgnoreCase(answer.field("Connection"))) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
