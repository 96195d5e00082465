package calicochute.admin;

import calicochute.settings.Document;
import calicochute.settings.SettingsException;
import com.google.gson.JsonElement;
import java.util.Map;

/** A call of an operator, parsed from a request to the admin address. */
sealed interface Call {
    record Health() implements Call {}

    record Stats() implements Call {}

    record Experiments() implements Call {}

    record Fleet() implements Call {}

    record Cordon(String host) implements Call {}

    record Uncordon(String host) implements Call {}

    record Quiesce() implements Call {}

    record Resume() implements Call {}

    /**
     * A request that is no valid call.
     *
     * @param status of the answer
     * @param reason text of the answer
     */
    record Invalid(int status, String reason) implements Call {}

    String PREFIX = "/admin/";
    /** The HTTP method of each call, by the path after {@link #PREFIX}. */
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

    static Call parse(String method, String target, String body) {
        String path = target.replaceFirst("\\?.*", "");
        String name = path.startsWith(PREFIX) ? path.substring(PREFIX.length()) : "";
        String expectedMethod = METHODS.get(name);
        if (expectedMethod == null) {
            return new Invalid(404, "no such call: " + path);
        }
        if (!expectedMethod.equals(method)) {
            return new Invalid(405, name + " goes with " + expectedMethod);
        }
        return switch (name) {
            case "health" -> new Health();
            case "stats" -> new Stats();
            case "experiments" -> new Experiments();
            case "fleet" -> new Fleet();
            case "quiesce" -> new Quiesce();
            case "resume" -> new Resume();
            default -> hostCall(name, body);
        };
    }

    /** A cordon or uncordon, which name the server in the body. */
    private static Call hostCall(String name, String body) {
        try {
            JsonElement host = Document.parse(body).root().get("host");
            if (host != null
                    && host.isJsonPrimitive()
                    && host.getAsJsonPrimitive().isString()) {
                return name.equals("cordon") ? new Cordon(host.getAsString()) : new Uncordon(host.getAsString());
            }
        } catch (SettingsException e) {
            return new Invalid(400, e.getMessage());
        }
        return new Invalid(400, "the body is not {\"host\":\"ID\"}");
    }
}
