package calicochute.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A backend server or discovery as the program meets it: a scripted answer to each request on real sockets. */
final class Peer implements AutoCloseable {
    /** Says what to write for a request; null ends the connection without an answer. */
    interface Script {
        byte[] answer(Http request) throws Exception;
    }

    final List<Http> requests = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    /** Connections that the program ended. */
    final List<Socket> ended = new CopyOnWriteArrayList<>();

    volatile Script script;
    /** Connections beyond this many are ended as they come up. */
    volatile int mostConnections = Integer.MAX_VALUE;
    /** Each connection is ended behind its first answer, whether that is whole or not. */
    volatile boolean endsBehind;

    private final ServerSocket listener;

    Peer(Script script) throws IOException {
        this.script = script;
        // No port that another peer of this run had: a program that still calls that one would be heard here.
        listener = new ServerSocket(Ports.free(), 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                if (connections.size() > mostConnections) {
                    socket.close();
                    continue;
                }
                start(() -> serve(socket));
            }
        });
    }

    /** One that holds back its answers until it is let go, and then has none: a discovery with nothing to tell. */
    static Peer silent(CountDownLatch release) throws IOException {
        return new Peer(r -> {
            release.await();
            return null;
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            for (Http request = Http.read(socket.getInputStream());
                    request != null;
                    request = Http.read(socket.getInputStream())) {
                requests.add(request);
                byte[] answer = script.answer(request);
                if (answer == null) {
                    return;
                }
                socket.getOutputStream().write(answer);
                if (endsBehind) {
                    return;
                }
            }
            ended.add(socket);
        } catch (IOException e) {
            ended.add(socket);
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The socket was closed: this peer's part is over.
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
