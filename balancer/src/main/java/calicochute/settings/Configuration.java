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
 * All that one real balancer is told. {@code known} is the list as it last had it, in discovery's form; {@code admin}
 * is the second address, or null; {@code connectionIdle} is the time in microseconds after which a backend server drops
 * an idle connection.
 */
public record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        Bounds bounds,
        long connectionIdle,
        String known,
        Settings settings,
        Document document) {
    private static final String ADMIN_VARIABLE = "PROXY_ADMIN_ADDR";
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 128;
    private static final long DEFAULT_CONNECTION_IDLE = 30_000_000;
    /** This host's timers go in steps of about a millisecond, and its clock is far finer than any answer takes. */
    private static final long DEFAULT_TICK = 1_000, LEAST_TICK = 1_000, MOST_TICK = 10_000;

    /** Reads a configuration file; every complaint names the file's faulty entry. */
    public static Configuration read(Path file) throws SettingsException {
        try {
            Document document = Document.parse(Files.readString(file));
            JsonObject root = document.root();
            Map<String, String> values = new HashMap<>();
            flatten("", object(root, "settings"), values);
            document.checkLimits();
            values.put("nonce64", seed(text(root, "seed")));
            // Guards against a session held for want of a server that is looked at again every few microseconds, or not
            // before its
            // deadline, and against answer times that look all alike: the tick told is of a clock, and this host has
            // its own.
            long tick = SettingsParser.time(values, "tick", DEFAULT_TICK);
            values.put("tick", Long.toString(Math.max(LEAST_TICK, Math.min(MOST_TICK, tick))));
            Settings settings = SettingsParser.parse(values);
            if (settings.classes().isEmpty()) {
                throw new SettingsException("settings name no classes");
            }
            JsonObject limits = root.has("limits") ? object(root, "limits") : new JsonObject();
            String told = root.has("admin_addr") ? text(root, "admin_addr") : System.getenv(ADMIN_VARIABLE);
            InetSocketAddress admin = told == null || told.isEmpty() ? null : address("admin_addr", told);
            return new Configuration(
                    text(root, "name"),
                    address("listen", text(root, "listen")),
                    admin,
                    address("discovery", text(root, "discovery")),
                    Bounds.of(
                            limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_SOCKETS,
                            admin != null,
                            limits.has("memory_mb") ? limits.get("memory_mb").getAsInt() : DEFAULT_MEMORY_MB),
                    SettingsParser.time(values, "caps.conn_idle", DEFAULT_CONNECTION_IDLE),
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

    /** Reads the file that takes over from this one, under load: what this one has, it must have too. */
    public Configuration readNext(Path file) throws SettingsException {
        Configuration next = read(file);
        // Its servers, and all that was learnt and put out by hand, are of the tier it began with.
        if (next.settings.tier() != settings.tier()) {
            throw new SettingsException(
                    Code.RELOAD,
                    file.toString(),
                    "settings.layer is " + next.settings.tier() + ", but the running balancer's tier is "
                            + settings.tier() + ": another tier needs a restart");
        }
        Set<String> missing = next.document.missing(document);
        if (!missing.isEmpty()) {
            throw new SettingsException(
                    Code.RELOAD, file.toString(), "lacks what the running one has: " + String.join(", ", missing));
        }
        return next;
    }

    /** Splits host:port. */
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

    /** Nested settings become the wire's pairs: plain lists joined by commas, lists of objects counted. */
    private static void flatten(String path, JsonElement value, Map<String, String> to) {
        if (value.isJsonObject()) {
            value.getAsJsonObject()
                    .entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), to));
        } else if (value.isJsonArray()) {
            JsonArray items = value.getAsJsonArray();
            List<String> plain = new ArrayList<>();
            for (int i = 0; i < items.size(); i++) {
                if (items.get(i).isJsonObject()) {
                    flatten(path + "." + i, items.get(i), to);
                } else {
                    plain.add(items.get(i).getAsString());
                }
            }
            to.put(path + ".count", "" + items.size());
            to.put(path, String.join(",", plain));
        } else if (value.isJsonPrimitive()) {
            to.put(path, value.getAsString());
        }
    }
}
