package calicochute.admin;

import calicochute.settings.Document;
import calicochute.settings.SettingsException;
import com.google.gson.JsonElement;
import java.util.Map;

/** One call of an operator, read from a request; without I/O. */
sealed interface Call {
    record Health() implements Call {}

    record Stats() implements Call {}

    record Experiments() implements Call {}

    record Fleet() implements Call {}

    record Cordon(String host) implements Call {}

    record Uncordon(String host) implements Call {}

    record Quiesce() implements Call {}

    record Resume() implements Call {}

    /** No call of ours; the status and the words that say so. */
    record Wrong(int status, String why) implements Call {}

    String PREFIX = "/admin/";
    Map<String, String> METHODS = Map.of(
            "health",
            "GET",
            "stats",
            "GET",
            "experiments",
            "GET",
            "fleet",
            "GET",
            "cordon",
            "POST",
            "uncordon",
            "POST",
            "quiesce",
            "POST",
            "resume",
            "POST");

    static Call read(String method, String target, String body) {
        String path = target.replaceFirst("\\?.*", "");
        String name = path.startsWith(PREFIX) ? path.substring(PREFIX.length()) : "";
        String wanted = METHODS.get(name);
        if (wanted == null) {
            return new Wrong(404, "no such call: " + path);
        }
        if (!wanted.equals(method)) {
            return new Wrong(405, name + " goes with " + wanted);
        }
        return switch (name) {
            case "health" -> new Health();
            case "stats" -> new Stats();
            case "experiments" -> new Experiments();
            case "fleet" -> new Fleet();
            case "quiesce" -> new Quiesce();
            case "resume" -> new Resume();
            default -> host(name, body);
        };
    }

    private static Call host(String name, String body) {
        try {
            JsonElement host = Document.parse(body).root().get("host");
            if (host != null
                    && host.isJsonPrimitive()
                    && host.getAsJsonPrimitive().isString()) {
                return name.equals("cordon") ? new Cordon(host.getAsString()) : new Uncordon(host.getAsString());
            }
        } catch (SettingsException e) {
            return new Wrong(400, e.getMessage());
        }
        return new Wrong(400, "the body is not {\"host\":\"ID\"}");
    }
}
