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

/** A configuration file's JSON, and the checks that its meaning does not need. */
public record Document(JsonObject root) {
    /** Longer ones are mistakes: a day in microseconds. */
    private static final BigDecimal LONGEST = BigDecimal.valueOf(86_400_000_000L);

    private static final BigDecimal MOST_ATTEMPTS = BigDecimal.valueOf(1000);

    /** Reads strict JSON, to its end: a file cut short is refused wherever it was cut. */
    public static Document parse(String text) throws SettingsException {
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        try {
            JsonElement root = JsonParser.parseReader(reader);
            if (!root.isJsonObject()) {
                throw new SettingsException("it is no JSON object");
            }
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new SettingsException("something follows its end");
            }
            return new Document(root.getAsJsonObject());
        } catch (JsonParseException | IOException e) {
            throw new SettingsException("it is not whole JSON: " + e.getMessage());
        }
    }

    /** Deadlines and attempts are numbers above 0, wherever they are given. */
    public void checkLimits() throws SettingsException {
        JsonObject settings = root.getAsJsonObject("settings");
        if (settings.get("caps") instanceof JsonObject caps && caps.has("max_attempts")) {
            BigDecimal attempts = positive("settings.caps.max_attempts", caps.get("max_attempts"), MOST_ATTEMPTS);
            if (attempts.stripTrailingZeros().scale() > 0) {
                throw new SettingsException("settings.caps.max_attempts is no whole number: " + attempts);
            }
        }
        Set<String> names = new TreeSet<>();
        if (settings.get("classes") instanceof JsonArray classes) {
            for (int i = 0; i < classes.size(); i++) {
                String at = "settings.classes." + i;
                if (!(classes.get(i) instanceof JsonObject c) || !c.has("name")) {
                    throw new SettingsException(at + " has no name");
                }
                if (!names.add(c.get("name").getAsString())) {
                    throw new SettingsException(at + " names a class a second time: " + c.get("name"));
                }
                if (c.has("deadline")) {
                    positive(at + ".deadline", c.get("deadline"), LONGEST);
                }
            }
        }
    }

    private static BigDecimal positive(String path, JsonElement value, BigDecimal most) throws SettingsException {
        if (value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()) {
            BigDecimal number = value.getAsBigDecimal();
            if (number.signum() > 0 && number.compareTo(most) <= 0) {
                return number;
            }
        }
        throw new SettingsException(path + " is no number above 0 and up to " + most + ": " + value);
    }

    /**
     * The paths of keys that the other document has and this one lacks; in lists, keys that all of its objects have.
     */
    public Set<String> missing(Document other) {
        Set<String> missing = new TreeSet<>();
        missing("", other.root, root, missing);
        return missing;
    }

    private static void missing(String path, JsonObject wanted, JsonObject found, Set<String> missing) {
        wanted.entrySet().forEach(entry -> {
            String at = path + entry.getKey();
            JsonElement there = found.get(entry.getKey());
            if (there == null || there.isJsonNull()) {
                missing.add(at);
            } else if (entry.getValue() instanceof JsonObject inner) {
                if (there instanceof JsonObject object) {
                    missing(at + ".", inner, object, missing);
                } else {
                    missing.add(at);
                }
            } else if (entry.getValue() instanceof JsonArray list) {
                if (there instanceof JsonArray array) {
                    JsonObject common = common(list);
                    for (int i = 0; i < array.size(); i++) {
                        if (array.get(i) instanceof JsonObject object) {
                            missing(at + "." + i + ".", common, object, missing);
                        }
                    }
                } else {
                    missing.add(at);
                }
            }
        });
    }

    /** The keys that all objects of a list have, with the values of the first. */
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
