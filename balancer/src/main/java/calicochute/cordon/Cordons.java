package calicochute.cordon;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The backend servers that operators have cordoned. Immutable.
 *
 * @param sinceMs by server id, when it was cordoned (Unix milliseconds)
 */
public record Cordons(Map<String, Long> sinceMs) {
    public static final Cordons NONE = new Cordons(Map.of());
    /** Version of the file format. */
    private static final int VERSION = 1;

    public Cordons {
        sinceMs = Collections.unmodifiableMap(new TreeMap<>(sinceMs));
    }

    public boolean contains(String id) {
        return sinceMs.containsKey(id);
    }

    /** These cordons and that of the server; a server that is cordoned already keeps its time. */
    public Cordons with(String id, long nowMillis) {
        if (contains(id)) {
            return this;
        }
        Map<String, Long> next = new TreeMap<>(sinceMs);
        next.put(id, nowMillis);
        return new Cordons(next);
    }

    /** These cordons without that of the server. One call is enough, however often the server was cordoned. */
    public Cordons without(String id) {
        if (!contains(id)) {
            return this;
        }
        Map<String, Long> next = new TreeMap<>(sinceMs);
        next.remove(id);
        return new Cordons(next);
    }

    /**
     * The file's JSON text, which names the balancer that it belongs to. Unlike the learnt state's owner, that does not
     * include classes and tenants: a cordon outlives a change of settings.
     *
     * @param balancer name of the balancer whose servers are cordoned
     * @param tier of that balancer: a server of another tier may have the same id
     */
    public String toJson(String balancer, int tier) {
        JsonArray out = new JsonArray();
        sinceMs.forEach((id, since) -> {
            JsonObject entry = new JsonObject();
            entry.addProperty("id", id);
            entry.addProperty("sinceMs", since);
            out.add(entry);
        });
        JsonObject root = new JsonObject();
        root.addProperty("version", VERSION);
        root.addProperty("balancer", balancer);
        root.addProperty("tier", tier);
        root.add("out", out);
        return root + "\n";
    }

    /**
     * Reads the text of {@link #toJson}. Null if the text is malformed, as that of a truncated file, or names another
     * balancer or tier. A text that names neither was written by an earlier version, whose cordons stay in force across
     * the upgrade.
     */
    public static Cordons parse(String text, String balancer, int tier) {
        try {
            JsonObject root = JsonParser.parseString(text).getAsJsonObject();
            if (root.get("version").getAsInt() != VERSION
                    || root.has("balancer")
                            && !root.get("balancer").getAsString().equals(balancer)
                    || root.has("tier") && root.get("tier").getAsInt() != tier) {
                return null;
            }
            Map<String, Long> cordoned = new TreeMap<>();
            for (JsonElement entry : root.getAsJsonArray("out")) {
                cordoned.put(
                        entry.getAsJsonObject().get("id").getAsString(),
                        entry.getAsJsonObject().get("sinceMs").getAsLong());
            }
            return new Cordons(cordoned);
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException
                | NullPointerException e) {
            return null;
        }
    }
}
