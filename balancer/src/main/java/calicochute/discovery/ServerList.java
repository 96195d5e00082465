package calicochute.discovery;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One answer of discovery: a whole list or the changes since the last, with the servers' addresses. */
public record ServerList(long generation, boolean whole, List<Backend> entries,
                         Map<String, InetSocketAddress> addresses) {
    /** Reads discovery's JSON; anything else is refused as a whole. */
    public static ServerList parse(String json) throws SettingsException {
        try {
            JsonObject root = JsonParser.parseString(json).getAsJsonObject();
            List<Backend> entries = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (JsonElement element : root.getAsJsonArray("instances")) {
                JsonObject o = element.getAsJsonObject();
                String id = o.get("instanceId").getAsString();
                BackendState state = state(o.get("lifecycle").getAsString());
                if (state != BackendState.GONE) {
                    addresses.put(id, Configuration.address("hostPort", o.get("hostPort").getAsString()));
                }
                entries.add(new Backend(id, text(o, "zone"), o.has("cell") ? o.get("cell").getAsInt() : 0,
                    o.has("weight") ? o.get("weight").getAsDouble() : 1, state,
                    o.has("startedAtMs") ? o.get("startedAtMs").getAsLong() * 1000 : 0, text(o, "machineType")));
            }
            return new ServerList(root.get("generation").getAsLong(), root.get("reset").getAsBoolean(), entries,
                addresses);
        } catch (JsonParseException | IllegalStateException | ClassCastException | NumberFormatException
                 | UnsupportedOperationException | NullPointerException e) {
            throw new SettingsException("not a list of instances: " + e.getMessage());
        }
    }

    private static String text(JsonObject from, String name) {
        return from.has(name) ? from.get(name).getAsString() : "";
    }

    private static BackendState state(String word) throws SettingsException {
        return switch (word) {
            case "Ready" -> BackendState.READY;
            case "Terminating" -> BackendState.DRAINING;
            case "Gone" -> BackendState.GONE;
            default -> throw new SettingsException("unknown lifecycle '" + word + "'");
        };
    }
}
