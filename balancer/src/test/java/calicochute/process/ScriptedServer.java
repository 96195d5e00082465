package calicochute.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A backend server or discovery service on real sockets that responds to each request as a script says. */
final class ScriptedServer implements AutoCloseable {
    /** Returns the bytes to write for a request; null closes the connection without a response. */
    interface Script {
        byte[] respond(HttpMessage request) throws Exception;
    }

    final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    /** Connections that the balancer closed or reset. */
    final List<Socket> endedConnections = new CopyOnWriteArrayList<>();

    volatile Script script;
    /** Connections beyond this number are closed as soon as they are accepted. */
    volatile int maxConnections = Integer.MAX_VALUE;
    /** Whether each connection is closed after its first response, complete or not. */
    volatile boolean closesAfterResponse;

    private final ServerSocket listener;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        // Each port is used once in a run, since a balancer may still connect to the port of an earlier server.
        listener = new ServerSocket(Ports.free(), 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                if (connections.size() > maxConnections) {
                    socket.close();
                    continue;
                }
                start(() -> serve(socket));
            }
        });
    }

    /**
     * Returns a server that leaves each request unanswered until {@code release} and then closes the connection, such
     * as a discovery service without changes to report.
     */
    static ScriptedServer silent(CountDownLatch release) throws IOException {
        return new ScriptedServer(r -> {
            release.await();
            return null;
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            for (HttpMessage request = HttpMessage.read(socket.getInputStream());
                    request != null;
                    request = HttpMessage.read(socket.getInputStream())) {
                requests.add(request);
                byte[] response = script.respond(request);
                if (response == null) {
                    return;
                }
                socket.getOutputStream().write(response);
                if (closesAfterResponse) {
                    return;
                }
            }
            endedConnections.add(socket);
        } catch (IOException e) {
            endedConnections.add(socket);
        }
    }

    /** Work that ends with an exception when its socket is closed. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Runs a task on a thread of its own. */
    static void start(ThrowingRunnable task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The socket was closed; the thread ends.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
