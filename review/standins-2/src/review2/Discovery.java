package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A stand-in for discovery: whole lists and watches, answered as the protocol page says. */
final class Discovery {
    private final ServerSocket socket;
    private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long generation = 1;

    Discovery() throws IOException {
        socket = new ServerSocket(0, 500, Rig.LOOPBACK);
        Rig.start(this::accept);
    }

    static String entry(String id, String address, String zone, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"front-std\",\"cell\":1,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    synchronized void set(String id, String entry) {
        generation++;
        entries.put(id, entry);
        changedAt.put(id, generation);
        notifyAll();
    }

    synchronized String list(long since) {
        StringBuilder list = new StringBuilder();
        entries.forEach((id, entry) -> {
            if (changedAt.get(id) > since) {
                list.append(list.length() == 0 ? "" : ",").append(entry);
            }
        });
        return "{\"generation\":" + generation + ",\"reset\":" + (since < 0) + ",\"instances\":[" + list + "]}";
    }

    synchronized long generation() {
        return generation;
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                if (down) {
                    reset(accepted);
                    continue;
                }
                Rig.start(() -> serve(accepted));
            }
        } catch (IOException e) {
            Rig.say("discovery ended");
        }
    }

    private void serve(Socket accepted) {
        open.add(accepted);
        try (accepted) {
            accepted.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(accepted.getInputStream());
            OutputStream out = accepted.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String body = answer(request.target());
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
                out.flush();
                if (body.contains("Terminating")) {
                    Rig.say("discovery has told " + accepted.getPort() + ": " + body);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The balancer has closed the connection.
        }
        open.remove(accepted);
    }

    /** Discovery goes down, so that calls and watches are reset, or comes back. */
    void setDown(boolean isDown) throws IOException {
        down = isDown;
        Rig.say("discovery is " + (isDown ? "down" : "back"));
        if (isDown) {
            for (Socket each : open) {
                reset(each);
            }
        }
    }

    private static void reset(Socket each) throws IOException {
        each.setSoLinger(true, 0);
        each.close();
    }

    private synchronized String answer(String target) throws InterruptedException {
        long since = number(target, "since", -1);
        long waitMs = Math.min(60_000, number(target, "timeout_ms", 0));
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (since >= 0 && generation <= since && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        return list(since);
    }

    private static long number(String target, String name, long otherwise) {
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return Long.parseLong(part.substring(name.length() + 1));
            }
        }
        return otherwise;
    }
}
