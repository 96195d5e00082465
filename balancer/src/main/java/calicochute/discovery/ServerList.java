package calicochute.discovery;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.errors.Code;
import calicochute.settings.Configuration;
import calicochute.settings.Document;
import calicochute.settings.SettingsException;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.net.InetAddressUtils;

/** One response of discovery: a full list or the changes since the last one, with the addresses of the servers. */
public record ServerList(
        long generation, boolean full, List<Backend> entries, Map<String, InetSocketAddress> addresses) {
    /** Upper limit of numbers: far larger ones overflow when they are converted to microseconds. */
    private static final BigDecimal MAX_NUMBER = BigDecimal.valueOf(1L << 53);

    /**
     * Whether this is a set of changes older than the current generation. A full list is never too old: it is the only
     * way to the current state if discovery has started over. A response without changes is not too old either.
     */
    boolean isOlderUpdate(long currentGeneration) {
        return !full && !entries.isEmpty() && generation < currentGeneration;
    }

    /**
     * Parses the JSON response of discovery; anything that is not valid is rejected as a whole. Of two entries with one
     * id the last one counts, because among changes it is the newer. Two ids may have the same address; an entry
     * without a zone belongs to none of the named zones.
     */
    public static ServerList parse(String json) throws SettingsException {
        try {
            JsonObject root = Document.parse(json).root();
            Map<String, Backend> entries = new LinkedHashMap<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (JsonElement element : root.getAsJsonArray("instances")) {
                JsonObject instance = element.getAsJsonObject();
                String id = instance.get("instanceId").getAsString();
                BackendState state = state(instance.get("lifecycle").getAsString());
                if (state == BackendState.GONE) {
                    addresses.remove(id);
                } else {
                    addresses.put(id, address(instance.get("hostPort").getAsString()));
                }
                entries.put(
                        id,
                        new Backend(
                                id,
                                text(instance, "zone"),
                                instance.has("cell") ? instance.get("cell").getAsInt() : 0,
                                instance.has("weight") ? instance.get("weight").getAsDouble() : 1,
                                state,
                                instance.has("startedAtMs") ? number(instance, "startedAtMs") * 1000 : 0,
                                text(instance, "machineType")));
            }
            return new ServerList(
                    number(root, "generation"),
                    root.get("reset").getAsBoolean(),
                    List.copyOf(entries.values()),
                    addresses);
        } catch (IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw new SettingsException(Code.SERVER_LIST, "", "not a list of instances: " + e.getMessage());
        }
    }

    /**
     * Accepts numeric addresses only, as lists contain no host names: a name lookup would block the decision thread.
     */
    private static InetSocketAddress address(String text) throws SettingsException {
        String host = text.substring(0, Math.max(0, text.lastIndexOf(':')));
        if (!InetAddressUtils.isIPv4(host) && !InetAddressUtils.isIPv6URLBracketed(host)) {
            throw new SettingsException(
                    Code.SERVER_LIST, "hostPort", "is not a numeric address and a port: '" + text + "'");
        }
        return Configuration.address("hostPort", text);
    }

    private static long number(JsonObject from, String name) throws SettingsException {
        BigDecimal number = from.get(name).getAsBigDecimal();
        if (number.abs().compareTo(MAX_NUMBER) > 0) {
            throw new SettingsException(name + " is over " + MAX_NUMBER + ": " + number);
        }
        return number.longValue();
    }

    private static String text(JsonObject from, String name) {
        return from.has(name) ? from.get(name).getAsString() : "";
    }

    private static BackendState state(String value) throws SettingsException {
        return switch (value) {
            case "Ready" -> BackendState.READY;
            case "Terminating" -> BackendState.DRAINING;
            case "Gone" -> BackendState.GONE;
            default -> throw new SettingsException(Code.SERVER_LIST, "lifecycle", "unknown lifecycle '" + value + "'");
        };
    }
}
