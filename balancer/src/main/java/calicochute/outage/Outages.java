package calicochute.outage;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The servers that operators have taken out, each with the time of the first call (Unix milliseconds). Immutable; its
 * text is what outlives the process.
 */
public record Outages(Map<String, Long> since) {
    public static final Outages NONE = new Outages(Map.of());
    private static final int VERSION = 1;

    public Outages {
        since = Collections.unmodifiableMap(new TreeMap<>(since));
    }

    public boolean has(String id) {
        return since.containsKey(id);
    }

    /** Taken out twice is taken out once, since the first call. */
    public Outages with(String id, long nowMillis) {
        if (has(id)) {
            return this;
        }
        Map<String, Long> next = new TreeMap<>(since);
        next.put(id, nowMillis);
        return new Outages(next);
    }

    /** One call back ends the ban, however often it was called out. */
    public Outages without(String id) {
        if (!has(id)) {
            return this;
        }
        Map<String, Long> next = new TreeMap<>(since);
        next.remove(id);
        return new Outages(next);
    }

    /**
     * With the owner in it. Its classes and tenants are not: a ban outlives a change of settings.
     *
     * @param balancer whose operators' word it is
     * @param tier of that balancer: a server of another tier may have the same id
     */
    public String text(String balancer, int tier) {
        JsonArray out = new JsonArray();
        since.forEach((id, at) -> {
            JsonObject one = new JsonObject();
            one.addProperty("id", id);
            one.addProperty("sinceMs", at);
            out.add(one);
        });
        JsonObject root = new JsonObject();
        root.addProperty("version", VERSION);
        root.addProperty("balancer", balancer);
        root.addProperty("tier", tier);
        root.add("out", out);
        return root + "\n";
    }

    /**
     * Reads {@link #text}; null for anything else: a torn or foreign file changes nothing. A file that names no owner
     * is one of an earlier version, whose bans hold across the upgrade.
     */
    public static Outages parse(String text, String balancer, int tier) {
        try {
            JsonObject root = JsonParser.parseString(text).getAsJsonObject();
            if (root.get("version").getAsInt() != VERSION
                    || root.has("balancer")
                            && !root.get("balancer").getAsString().equals(balancer)
                    || root.has("tier") && root.get("tier").getAsInt() != tier) {
                return null;
            }
            Map<String, Long> out = new TreeMap<>();
            for (JsonElement one : root.getAsJsonArray("out")) {
                out.put(
                        one.getAsJsonObject().get("id").getAsString(),
                        one.getAsJsonObject().get("sinceMs").getAsLong());
            }
            return new Outages(out);
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
