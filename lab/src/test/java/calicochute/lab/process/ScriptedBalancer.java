package calicochute.lab.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A simple balancer process for tests of the rule checker; its mode, the only argument, says which rule it breaks. */
public final class ScriptedBalancer {
    private static final AtomicInteger SESSIONS = new AtomicInteger();
    private static final Map<String, JsonNode> SERVERS = new LinkedHashMap<>();
    private static String mode;

    private ScriptedBalancer() {}

    private record Message(String head, byte[] body) {
        byte[] bytes() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(body);
            return out.toByteArray();
        }

        static Message read(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    throw new EOFException();
                }
                head.write(next);
            }
            String text = head.toString(StandardCharsets.ISO_8859_1);
            String length = text.replaceAll("(?is).*content-length: (\\d+).*", "$1");
            return new Message(text, in.readNBytes(length.equals(text) ? 0 : Integer.parseInt(length)));
        }
    }

    public static void main(String[] args) throws Exception {
        mode = args[0];
        JsonNode config = new ObjectMapper().readTree(new File(System.getenv("PROXY_CONFIG")));
        applyList(config.get("known"));
        String[] listen = config.get("listen").asText().split(":");
        startThread(() -> watch(config.get("discovery").asText().split(":")));
        if (System.getenv("PROXY_FLEET") != null) {
            startThread(() -> exchangeDatagrams(new YAMLMapper().readTree(new File(System.getenv("PROXY_FLEET")))));
        }
        try (ServerSocket listener =
                new ServerSocket(Integer.parseInt(listen[1]), 200, InetAddress.getByName(listen[0]))) {
            while (true) {
                Socket client = listener.accept();
                startThread(() -> serve(client));
            }
        }
    }

    /** Sends its id to each peer repeatedly, and logs the ids that it receives. */
    private static void exchangeDatagrams(JsonNode fleet) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(address(fleet.get("listen")))) {
            startThread(() -> {
                DatagramPacket received = new DatagramPacket(new byte[100], 100);
                while (true) {
                    socket.receive(received);
                    System.out.println("heard " + new String(received.getData(), 0, received.getLength()) + " from "
                            + received.getSocketAddress());
                }
            });
            while (true) {
                for (JsonNode peer : fleet.get("peers")) {
                    byte[] me = fleet.get("me").asText().getBytes();
                    socket.send(new DatagramPacket(me, me.length, address(peer.get("address"))));
                }
                Thread.sleep(50);
            }
        }
    }

    private static InetSocketAddress address(JsonNode text) {
        String[] hostAndPort = text.asText().split(":");
        return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the socket has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static synchronized void applyList(JsonNode list) {
        if (list.get("reset").asBoolean()) {
            SERVERS.clear();
        }
        for (JsonNode instance : list.get("instances")) {
            boolean ready = instance.get("lifecycle").asText().equals("Ready");
            if (ready) {
                SERVERS.put(instance.get("instanceId").asText(), instance);
            } else if (!mode.equals("drains-late")) {
                SERVERS.remove(instance.get("instanceId").asText());
            }
        }
    }

    private static void watch(String[] hostAndPort) throws Exception {
        while (true) {
            try (Socket discovery = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
                discovery.getOutputStream().write("GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n".getBytes());
                JsonNode list = new ObjectMapper()
                        .readTree(Message.read(discovery.getInputStream()).body());
                if (!mode.equals("drains-late")) {
                    applyList(list);
                }
            } catch (IOException e) {
                // Retried after the pause.
            }
            Thread.sleep(100);
        }
    }

    private static synchronized InetSocketAddress chooseServer(int session) {
        List<JsonNode> all = List.copyOf(SERVERS.values());
        JsonNode instance = all.get(session % all.size());
        if (mode.equals("floods")) {
            for (JsonNode other : all) {
                instance = other.get("startedAtMs").asLong()
                                > instance.get("startedAtMs").asLong()
                        ? other
                        : instance;
            }
        }
        String[] hostAndPort = instance.get("hostPort").asText().split(":");
        return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }

    private static Message dispatch(Message request, int session) throws IOException {
        InetSocketAddress server = chooseServer(session);
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
            socket.setTcpNoDelay(true);
            String remainingMillis = request.head().replaceAll("(?is).*x-remaining-ms: (\\d+).*", "$1");
            // Half of the time is kept in reserve, so that the response is in time even if this process is scheduled
            // late on a busy machine.
            socket.setSoTimeout(Math.max(1, Integer.parseInt(remainingMillis) / 2));
            socket.getOutputStream().write(request.bytes());
            return Message.read(socket.getInputStream());
        }
    }

    private static void serve(Socket client) throws IOException {
        try (client) {
            client.setTcpNoDelay(true);
            while (true) {
                Message request = Message.read(client.getInputStream());
                byte[] answer = "HTTP/1.1 502 -\r\nContent-Length: 0\r\n\r\n".getBytes();
                if (request.head().startsWith("GET /ready")) {
                    answer = "HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n".getBytes();
                } else {
                    int session = SESSIONS.incrementAndGet();
                    boolean once =
                            request.head().startsWith("POST") && !request.head().contains("Idempotency-Key");
                    if (mode.equals("crashes") && session > 20) {
                        Runtime.getRuntime().halt(7);
                    }
                    if (mode.equals("never-answers") && session % 10 == 0) {
                        continue;
                    }
                    try {
                        if (mode.equals("sends-twice") && once) {
                            dispatch(request, session + 1);
                        }
                        answer = dispatch(request, session).bytes();
                    } catch (IOException | RuntimeException e) {
                        // The response stays 502 if the server sends none or the list is empty. Closing the client's
                        // connection instead would lose the session, which is a breach.
                        System.out.println("no answer: " + e);
                    }
                    if (mode.equals("denies-late") && once && session % 5 == 0) {
                        answer = "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n".getBytes();
                    }
                    if (mode.equals("forges") && session % 10 == 0) {
                        answer = "HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok".getBytes();
                    }
                }
                boolean twice = mode.equals("answers-twice") && SESSIONS.get() % 10 == 0;
                // Both in one write: a second answer that comes later is taken for the answer to the next request.
                client.getOutputStream().write(twice ? repeat(answer) : answer);
            }
        }
    }

    private static byte[] repeat(byte[] answer) {
        byte[] both = Arrays.copyOf(answer, 2 * answer.length);
        System.arraycopy(answer, 0, both, answer.length, answer.length);
        return both;
    }
}
