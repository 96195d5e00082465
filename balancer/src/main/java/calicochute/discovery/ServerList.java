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

/** One answer of discovery: a whole list or the changes since the last, with the servers' addresses. */
public record ServerList(
        long generation, boolean whole, List<Backend> entries, Map<String, InetSocketAddress> addresses) {
    /** Numbers beyond it turn over once they are microseconds. */
    private static final BigDecimal GREATEST = BigDecimal.valueOf(1L << 53);

    /**
     * Changes from before a list of this generation. A whole list is never too old: where discovery began anew, it is
     * the only way to what is listed now. Nor is an answer that changes nothing.
     */
    boolean changesOlderThan(long held) {
        return !whole && !entries.isEmpty() && generation < held;
    }

    /**
     * Reads discovery's JSON; anything else is refused as a whole. Of two entries with one id the last counts: among
     * changes it is the newer. Two ids may have one address; one without a zone is in none of the named ones.
     */
    public static ServerList parse(String json) throws SettingsException {
        try {
            JsonObject root = Document.parse(json).root();
            Map<String, Backend> entries = new LinkedHashMap<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (JsonElement element : root.getAsJsonArray("instances")) {
                JsonObject o = element.getAsJsonObject();
                String id = o.get("instanceId").getAsString();
                BackendState state = state(o.get("lifecycle").getAsString());
                if (state == BackendState.GONE) {
                    addresses.remove(id);
                } else {
                    addresses.put(id, address(o.get("hostPort").getAsString()));
                }
                entries.put(
                        id,
                        new Backend(
                                id,
                                text(o, "zone"),
                                o.has("cell") ? o.get("cell").getAsInt() : 0,
                                o.has("weight") ? o.get("weight").getAsDouble() : 1,
                                state,
                                o.has("startedAtMs") ? number(o, "startedAtMs") * 1000 : 0,
                                text(o, "machineType")));
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
     * Guards against a name lookup on the decision thread, however long that takes: lists hold numbers, never names.
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
        if (number.abs().compareTo(GREATEST) > 0) {
            throw new SettingsException(name + " is over " + GREATEST + ": " + number);
        }
        return number.longValue();
    }

    private static String text(JsonObject from, String name) {
        return from.has(name) ? from.get(name).getAsString() : "";
    }

    private static BackendState state(String word) throws SettingsException {
        return switch (word) {
            case "Ready" -> BackendState.READY;
            case "Terminating" -> BackendState.DRAINING;
            case "Gone" -> BackendState.GONE;
            default -> throw new SettingsException(Code.SERVER_LIST, "lifecycle", "unknown word '" + word + "'");
        };
    }
}
