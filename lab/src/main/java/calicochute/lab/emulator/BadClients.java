package calicochute.lab.emulator;

import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients that send invalid requests. A balancer has to respond with an error or close the connection within 3 s, and
 * must never respond with 200.
 */
final class BadClients {
    private static final long RESPONSE_LIMIT_MICROS = 3_000_000;
    private static final String HEAD = "POST /api HTTP/1.1\r\nHost: service.internal\r\n";
    private final EmulationContext context;
    private final UniformRandomProvider random;
    private int sent;
    private int unanswered;
    private int served;

    BadClients(EmulationContext context) {
        this.context = context;
        random = context.streams.of("bad clients", 0);
    }

    /** How many invalid requests were sent. */
    int sent() {
        return sent;
    }

    /** How many got neither an error nor a closed connection in time. */
    int unanswered() {
        return unanswered;
    }

    /** How many were served, which must not happen. */
    int served() {
        return served;
    }

    private String invalidRequest() {
        String validFields = "X-Txn: " + String.format("%016x", random.nextLong()) + "\r\nX-Lane: "
                + context.scenario.classes().get(0).name() + "\r\nX-Org: "
                + context.scenario.tenants().get(0).name() + "\r\n";
        return switch (random.nextInt(9)) {
            case 0 -> "\u0000\u0001\u0002 what is this \u0003\r\n\r\n";
            case 1 -> HEAD + "X-Long: " + "a".repeat(60_000);
            case 2 -> HEAD + validFields + "X-Remaining-Ms: 1000\r\nContent-Length: -5\r\n\r\n";
            case 3 ->
                HEAD + validFields
                        + "X-Remaining-Ms: 1000\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
            case 4 ->
                HEAD + validFields.replace("X-Lane: ", "X-Lane: no-such-")
                        + "X-Remaining-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
            case 5 -> HEAD + validFields + "X-Remaining-Ms: soon\r\nContent-Length: 0\r\n\r\n";
            case 6 -> HEAD + validFields + "X-Remaining-Ms: 1000\r\nContent-Length: 900000000\r\n\r\nxxxx";
            case 7 -> HEAD + "X-Txn: half";
            default -> "";
        };
    }

    /** Connects to a balancer and sends one invalid request. */
    void send(InetSocketAddress balancer) {
        sent++;
        String request = invalidRequest();
        boolean[] finished = new boolean[1];
        context.sockets.connect(
                balancer,
                RESPONSE_LIMIT_MICROS,
                new Connection.Listener() {
                    @Override
                    public void message(Connection connection, HttpMessage message) {
                        served += message.status() == 200 ? 1 : 0;
                        finished[0] = true;
                        connection.close();
                    }

                    @Override
                    public void malformed(Connection connection, String reason) {
                        finished[0] = true;
                        connection.close();
                    }

                    @Override
                    public void closed(Connection connection, boolean reset, boolean midMessage) {
                        finished[0] = true;
                    }
                },
                connection -> {
                    if (!request.isEmpty()) {
                        connection.write(request.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    context.eventLoop.scheduleAfter(RESPONSE_LIMIT_MICROS, () -> {
                        if (!finished[0]) {
                            unanswered++;
                            connection.reset();
                        }
                    });
                },
                () -> {});
    }
}
