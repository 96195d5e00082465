package calicochute.lab.emulator;

import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients that differ from the usual ones: what they send can't be served. Each is owed an error or the end of its
 * connection within 3 s, and never a 200.
 */
final class BadClients {
    private static final long OWED_WITHIN = 3_000_000;
    private static final String HEAD = "POST /api HTTP/1.1\r\nHost: service.internal\r\n";
    private final Site site;
    private final UniformRandomProvider chance;
    private int sent;
    private int neglected;
    private int served;

    BadClients(Site site) {
        this.site = site;
        chance = site.streams.of("bad clients", 0);
    }

    int sent() {
        return sent;
    }

    /** Those that got neither an error nor the end of their connection in time. */
    int neglected() {
        return neglected;
    }

    /** Those that were served, which breaks a rule. */
    int served() {
        return served;
    }

    private String words() {
        String known = "X-Txn: " + String.format("%016x", chance.nextLong()) + "\r\nX-Lane: "
                + site.scenario.classes().get(0).name() + "\r\nX-Org: "
                + site.scenario.tenants().get(0).name() + "\r\n";
        return switch (chance.nextInt(9)) {
            case 0 -> "\u0000\u0001\u0002 what is this \u0003\r\n\r\n";
            case 1 -> HEAD + "X-Long: " + "a".repeat(60_000);
            case 2 -> HEAD + known + "X-Remaining-Ms: 1000\r\nContent-Length: -5\r\n\r\n";
            case 3 ->
                HEAD + known
                        + "X-Remaining-Ms: 1000\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
            case 4 ->
                HEAD + known.replace("X-Lane: ", "X-Lane: no-such-")
                        + "X-Remaining-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
            case 5 -> HEAD + known + "X-Remaining-Ms: soon\r\nContent-Length: 0\r\n\r\n";
            case 6 -> HEAD + known + "X-Remaining-Ms: 1000\r\nContent-Length: 900000000\r\n\r\nxxxx";
            case 7 -> HEAD + "X-Txn: half";
            default -> "";
        };
    }

    /** One such client connects to a balancer. */
    void send(InetSocketAddress balancer) {
        sent++;
        String words = words();
        boolean[] over = new boolean[1];
        site.sockets.connect(
                balancer,
                OWED_WITHIN,
                new Connection.Listener() {
                    @Override
                    public void message(Connection connection, HttpMessage message) {
                        served += message.status() == 200 ? 1 : 0;
                        over[0] = true;
                        connection.close();
                    }

                    @Override
                    public void malformed(Connection connection, String reason) {
                        over[0] = true;
                        connection.close();
                    }

                    @Override
                    public void closed(Connection connection, boolean reset, boolean midMessage) {
                        over[0] = true;
                    }
                },
                connection -> {
                    if (!words.isEmpty()) {
                        connection.write(words.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    site.eventLoop.scheduleAfter(OWED_WITHIN, () -> {
                        if (!over[0]) {
                            neglected++;
                            connection.reset();
                        }
                    });
                },
                () -> {});
    }
}
