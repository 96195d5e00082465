package calicochute.lab.scenario;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** On which line of a YAML text each field stands; fields are named as {@code tiers[0].kinds[1].cores}. */
final class Lines {
    private final Map<String, Integer> lines = new HashMap<>();

    /** Reads the whole text once; throws where it is no YAML. */
    static Lines of(String text) throws IOException {
        Lines found = new Lines();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.END_ARRAY && token != JsonToken.END_OBJECT) {
                    found.lines.putIfAbsent(
                            field(parser.getParsingContext()),
                            parser.currentTokenLocation().getLineNr());
                }
            }
        }
        return found;
    }

    /** Whether the text holds nothing at all. */
    boolean empty() {
        return lines.isEmpty();
    }

    /** The name of the field at which a parser stands. */
    static String field(JsonStreamContext at) {
        if (at == null || at.inRoot()) {
            return "";
        }
        // An object or array that has just begun stands for the field it is the value of.
        String parent = field(at.getParent());
        if (at.inObject()) {
            return at.getCurrentName() == null ? parent : join(parent, at.getCurrentName());
        }
        return at.hasCurrentIndex() ? parent + "[" + at.getCurrentIndex() + "]" : parent;
    }

    /** The name of a field within another one. */
    static String join(String parent, String name) {
        return parent.isEmpty() ? name : parent + "." + name;
    }

    /** The field's line, else that of the nearest one around it. */
    int line(String field) {
        String name = field;
        while (!name.isEmpty()) {
            Integer line = lines.get(name);
            if (line != null) {
                return line;
            }
            int cut = Math.max(name.lastIndexOf('.'), name.lastIndexOf('['));
            name = cut < 0 ? "" : name.substring(0, cut);
        }
        return 1;
    }
}
