package calicochute.settings;

import calicochute.decision.Balancer.Settings;
import calicochute.errors.Code;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The contents of a configuration file.
 *
 * @param name name of this balancer
 * @param listen address that clients connect to
 * @param admin second address, for operators; null for none
 * @param discovery address of the discovery service
 * @param bounds limits on connections and buffers
 * @param connectionIdleMicros time after which a backend server closes an idle connection
 * @param known the server list that this balancer had last, in discovery's JSON format; empty for none
 * @param settings settings of the decision module
 * @param document the file's JSON
 */
public record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        Bounds bounds,
        long connectionIdleMicros,
        String known,
        Settings settings,
        Document document) {
    private static final String ADMIN_VARIABLE = "PROXY_ADMIN_ADDR";
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 128;
    private static final long DEFAULT_CONNECTION_IDLE_MICROS = 30_000_000;
    /** The tick in microseconds; this process has timers with a resolution of about a millisecond. */
    private static final long DEFAULT_TICK_MICROS = 1_000;

    private static final long MIN_TICK_MICROS = 1_000;
    private static final long MAX_TICK_MICROS = 10_000;

    /** Reads a configuration file; an exception's message names the file and the faulty entry. */
    public static Configuration read(Path file) throws SettingsException {
        try {
            Document document = Document.parse(Files.readString(file));
            JsonObject root = document.root();
            Map<String, String> values = new HashMap<>();
            flatten("", object(root, "settings"), values);
            document.checkLimits();
            values.put("nonce64", seed(text(root, "seed")));
            // The configured tick is that of another clock. With a tick far below this process's timer resolution,
            // a session that waits for a server would be reconsidered every few microseconds; with one far above it,
            // not before its deadline, and all response times would look alike.
            long tick = SettingsParser.time(values, "tick", DEFAULT_TICK_MICROS);
            values.put("tick", Long.toString(Math.max(MIN_TICK_MICROS, Math.min(MAX_TICK_MICROS, tick))));
            Settings settings = SettingsParser.parse(values);
            if (settings.classes().isEmpty()) {
                throw new SettingsException("settings lack classes");
            }
            JsonObject limits = root.has("limits") ? object(root, "limits") : new JsonObject();
            String adminAddress = root.has("admin_addr") ? text(root, "admin_addr") : System.getenv(ADMIN_VARIABLE);
            InetSocketAddress admin =
                    adminAddress == null || adminAddress.isEmpty() ? null : address("admin_addr", adminAddress);
            return new Configuration(
                    text(root, "name"),
                    address("listen", text(root, "listen")),
                    admin,
                    address("discovery", text(root, "discovery")),
                    Bounds.of(
                            limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_SOCKETS,
                            admin != null,
                            limits.has("memory_mb") ? limits.get("memory_mb").getAsInt() : DEFAULT_MEMORY_MB),
                    SettingsParser.time(values, "caps.conn_idle", DEFAULT_CONNECTION_IDLE_MICROS),
                    root.has("known") ? root.get("known").toString() : "",
                    settings,
                    document);
        } catch (IOException e) {
            throw new SettingsException(Code.CONFIGURATION_UNREADABLE, "", "cannot read " + file);
        } catch (SettingsException e) {
            throw e.in(file.toString());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new SettingsException(file + " is not a configuration: " + e.getMessage());
        }
    }

    /**
     * Reads a file that replaces this configuration while the process runs. A key that this configuration has must not
     * be missing from it.
     */
    public Configuration readNext(Path file) throws SettingsException {
        Configuration next = read(file);
        // The server list, learned estimates and operators' outages belong to the tier that the process started with.
        if (next.settings.tier() != settings.tier()) {
            throw new SettingsException(
                    Code.RELOAD,
                    file.toString(),
                    "settings.layer is " + next.settings.tier() + ", but the running balancer's tier is "
                            + settings.tier() + "; changing the tier needs a restart");
        }
        Set<String> missing = next.document.missing(document);
        if (!missing.isEmpty()) {
            throw new SettingsException(
                    Code.RELOAD,
                    file.toString(),
                    "keys of the running configuration are missing: " + String.join(", ", missing));
        }
        return next;
    }

    /**
     * Parses host:port.
     *
     * @param what name of the entry, for the message of an exception
     */
    public static InetSocketAddress address(String what, String text) throws SettingsException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 0xffff) {
                InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        } catch (NumberFormatException e) {
            throw new SettingsException(what + " is not host:port: '" + text + "'");
        }
        throw new SettingsException(what + " is not host:port: '" + text + "'");
    }

    private static String seed(String hex) throws SettingsException {
        try {
            return Long.toString(Long.parseUnsignedLong(hex, 16));
        } catch (NumberFormatException e) {
            throw new SettingsException("seed is not a hexadecimal number: '" + hex + "'");
        }
    }

    private static String text(JsonObject from, String name) throws SettingsException {
        if (!from.has(name)) {
            throw new SettingsException("configuration lacks " + name);
        }
        return from.get(name).getAsString();
    }

    private static JsonObject object(JsonObject from, String name) throws SettingsException {
        if (!from.has(name) || !from.get(name).isJsonObject()) {
            throw new SettingsException("configuration lacks the object " + name);
        }
        return from.getAsJsonObject(name);
    }

    /**
     * Flattens nested settings into pairs of path and value. A list's size is added under PATH.count and its plain
     * items under PATH, joined by commas; objects of a list have paths with their index.
     */
    private static void flatten(String path, JsonElement value, Map<String, String> target) {
        if (value.isJsonObject()) {
            value.getAsJsonObject()
                    .entrySet()
                    .forEach(entry -> flatten(
                            path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), entry.getValue(), target));
        } else if (value.isJsonArray()) {
            JsonArray items = value.getAsJsonArray();
            List<String> plain = new ArrayList<>();
            for (int i = 0; i < items.size(); i++) {
                if (items.get(i).isJsonObject()) {
                    flatten(path + "." + i, items.get(i), target);
                } else {
                    plain.add(items.get(i).getAsString());
                }
            }
            target.put(path + ".count", "" + items.size());
            target.put(path, String.join(",", plain));
        } else if (value.isJsonPrimitive()) {
            target.put(path, value.getAsString());
        }
    }
}
