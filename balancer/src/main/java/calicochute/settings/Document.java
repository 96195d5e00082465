package calicochute.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;
import java.util.Set;
import java.util.TreeSet;

/** A strictly parsed JSON document, and the checks of a configuration that need only its JSON. */
public record Document(JsonObject root) {
    /** Greatest deadline in microseconds, a day; a greater one is taken for a mistake. */
    private static final BigDecimal MAX_DEADLINE_MICROS = BigDecimal.valueOf(86_400_000_000L);

    private static final BigDecimal MAX_ATTEMPTS = BigDecimal.valueOf(1000);

    /** Parses strict JSON up to the end of the text; a truncated text is rejected wherever it was cut. */
    public static Document parse(String text) throws SettingsException {
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        try {
            JsonElement root = JsonParser.parseReader(reader);
            if (!root.isJsonObject()) {
                throw new SettingsException("not a JSON object");
            }
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new SettingsException("text follows the JSON object");
            }
            return new Document(root.getAsJsonObject());
        } catch (JsonParseException | IOException e) {
            throw new SettingsException("incomplete or invalid JSON: " + e.getMessage());
        }
    }

    /** Checks that deadlines and the limit on attempts, where given, are positive numbers, and class names unique. */
    public void checkLimits() throws SettingsException {
        JsonObject settings = root.getAsJsonObject("settings");
        if (settings.get("caps") instanceof JsonObject caps && caps.has("max_attempts")) {
            BigDecimal attempts = positive("settings.caps.max_attempts", caps.get("max_attempts"), MAX_ATTEMPTS);
            if (attempts.stripTrailingZeros().scale() > 0) {
                throw new SettingsException("settings.caps.max_attempts is not a whole number: " + attempts);
            }
        }
        Set<String> names = new TreeSet<>();
        if (settings.get("classes") instanceof JsonArray classes) {
            for (int i = 0; i < classes.size(); i++) {
                String keyPath = "settings.classes." + i;
                if (!(classes.get(i) instanceof JsonObject requestClass) || !requestClass.has("name")) {
                    throw new SettingsException(keyPath + " has no name");
                }
                if (!names.add(requestClass.get("name").getAsString())) {
                    throw new SettingsException(keyPath + " repeats the class name " + requestClass.get("name"));
                }
                if (requestClass.has("deadline")) {
                    positive(keyPath + ".deadline", requestClass.get("deadline"), MAX_DEADLINE_MICROS);
                }
            }
        }
    }

    private static BigDecimal positive(String path, JsonElement value, BigDecimal max) throws SettingsException {
        if (value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()) {
            BigDecimal number = value.getAsBigDecimal();
            if (number.signum() > 0 && number.compareTo(max) <= 0) {
                return number;
            }
        }
        throw new SettingsException(path + " is not a number above 0 and up to " + max + ": " + value);
    }

    /**
     * The paths of keys that the other document has and this one lacks. Of a list, those keys count that all of its
     * objects have.
     */
    public Set<String> missing(Document other) {
        Set<String> missing = new TreeSet<>();
        missing("", other.root, root, missing);
        return missing;
    }

    private static void missing(String path, JsonObject wanted, JsonObject found, Set<String> missing) {
        wanted.entrySet().forEach(entry -> {
            String keyPath = path + entry.getKey();
            JsonElement actual = found.get(entry.getKey());
            if (actual == null || actual.isJsonNull()) {
                missing.add(keyPath);
            } else if (entry.getValue() instanceof JsonObject inner) {
                if (actual instanceof JsonObject object) {
                    missing(keyPath + ".", inner, object, missing);
                } else {
                    missing.add(keyPath);
                }
            } else if (entry.getValue() instanceof JsonArray list) {
                if (actual instanceof JsonArray array) {
                    JsonObject common = common(list);
                    for (int i = 0; i < array.size(); i++) {
                        if (array.get(i) instanceof JsonObject object) {
                            missing(keyPath + "." + i + ".", common, object, missing);
                        }
                    }
                } else {
                    missing.add(keyPath);
                }
            }
        });
    }

    /** An object with the keys that all objects of a list have, and the first one's values. */
    private static JsonObject common(JsonArray list) {
        JsonObject common = null;
        for (JsonElement element : list) {
            if (element instanceof JsonObject object) {
                if (common == null) {
                    common = object.deepCopy();
                } else {
                    common.keySet().retainAll(object.keySet());
                }
            }
        }
        return common == null ? new JsonObject() : common;
    }
}
