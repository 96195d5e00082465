import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery as the protocol page describes it: the whole list, and watches that wait for something newer. */
final class Discovery implements AutoCloseable {
    private static final Pattern SINCE = Pattern.compile("since=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("timeout_ms=(\\d+)");
    private final ServerSocket socket;
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** Entry of each change, by generation - 1. */
    private final List<String> changes = new ArrayList<>();

    Discovery() throws IOException {
        socket = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static String entry(String id, String address, String lifecycle, long startedAtMs, String kind) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address
                + "\",\"zone\":\"a\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    /** Lists a server, or changes what is listed of it. */
    void set(String id, String address, String lifecycle, long startedAtMs) {
        set(id, address, lifecycle, startedAtMs, "front-std");
    }

    synchronized void set(String id, String address, String lifecycle, long startedAtMs, String kind) {
        String entry = entry(id, address, lifecycle, startedAtMs, kind);
        if (lifecycle.equals("Gone")) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
        changes.add(entry);
        notifyAll();
    }

    synchronized String wholeList() {
        return "{\"generation\":" + changes.size() + ",\"reset\":true,\"instances\":["
                + String.join(",", entries.values()) + "]}";
    }

    private synchronized String changesSince(int since, long waitMs) throws InterruptedException {
        if (since > changes.size()) {
            return wholeList();
        }
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (changes.size() <= since && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        return "{\"generation\":" + changes.size() + ",\"reset\":false,\"instances\":["
                + String.join(",", changes.subList(since, changes.size())) + "]}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            Threads.start("discovery-call", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = Http.buffered(connection.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                Matcher since = SINCE.matcher(call.secondWord());
                Matcher wait = WAIT.matcher(call.secondWord());
                String body = since.find()
                        ? changesSince(
                                Integer.parseInt(since.group(1)), wait.find() ? Long.parseLong(wait.group(1)) : 0)
                        : wholeList();
                connection
                        .getOutputStream()
                        .write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
