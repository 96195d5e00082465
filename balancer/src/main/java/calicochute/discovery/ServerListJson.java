package calicochute.discovery;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Writes a {@link ServerList} in discovery's JSON format, which {@link ServerList#parse} reads. */
public final class ServerListJson {
    private ServerListJson() {}

    /** The list's JSON text, in one line. */
    public static String write(ServerList list) {
        StringWriter text = new StringWriter();
        try (JsonWriter json = new JsonWriter(text)) {
            json.beginObject();
            json.name("generation").value(list.generation());
            json.name("reset").value(list.full());
            json.name("instances").beginArray();
            for (Backend entry : list.entries()) {
                write(json, entry, list.addresses().get(entry.id()));
            }
            json.endArray();
            json.endObject();
        } catch (IOException e) {
            throw new IllegalStateException("a StringWriter does not fail", e);
        }
        return text.toString();
    }

    private static void write(JsonWriter json, Backend entry, InetSocketAddress address) throws IOException {
        json.beginObject();
        json.name("instanceId").value(entry.id());
        if (address != null) {
            json.name("hostPort").value(hostPort(address));
        }
        json.name("zone").value(entry.zone());
        json.name("machineType").value(entry.kind());
        json.name("cell").value(entry.cell());
        json.name("lifecycle").value(lifecycle(entry.state()));
        json.name("weight").value(entry.weight());
        json.name("startedAtMs").value(TimeUnit.MICROSECONDS.toMillis(entry.startedAt()));
        json.endObject();
    }

    private static String hostPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    private static String lifecycle(BackendState state) {
        return switch (state) {
            case READY -> "Ready";
            case DRAINING -> "Terminating";
            case GONE -> "Gone";
        };
    }
}
