package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** One client connection: one request at a time. */
final class Client implements AutoCloseable {
    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime() & 0xffffffffL);
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
        this(port, 0);
    }

    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 2000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 4096);
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("%016x", LAST_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends a request of a class; the method follows from the class. */
    void send(String id, String requestClass, String path, long remainingMs, byte[] body) throws IOException {
        boolean repeatable = requestClass.equals("view-map") || requestClass.equals("balance");
        String head = (repeatable ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
                + "\r\nX-Lane: " + requestClass + "\r\nX-Org: " + Balancer.TENANT + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (requestClass.equals("register-scan") || requestClass.equals("disburse")
                        ? "Idempotency-Key: " + id + id + "\r\n"
                        : "")
                + (repeatable ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        out.write(bytes);
        out.flush();
    }

    Http.Message get(String path) throws IOException {
        out.write(("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes());
        out.flush();
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
