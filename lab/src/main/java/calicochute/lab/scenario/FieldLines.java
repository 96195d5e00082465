package calicochute.lab.scenario;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Maps each field of a YAML text, named as in {@code tiers[0].kinds[1].cores}, to its line number. */
final class FieldLines {
    private final Map<String, Integer> lines = new HashMap<>();

    /** Parses the whole text; throws if it is not valid YAML. */
    static FieldLines of(String text) throws IOException {
        FieldLines fieldLines = new FieldLines();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.END_ARRAY && token != JsonToken.END_OBJECT) {
                    fieldLines.lines.putIfAbsent(
                            field(parser.getParsingContext()),
                            parser.currentTokenLocation().getLineNr());
                }
            }
        }
        return fieldLines;
    }

    /** Whether the text contains no field or value. */
    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns the name of the field at the parser's position. */
    static String field(JsonStreamContext context) {
        if (context == null || context.inRoot()) {
            return "";
        }
        // At the start of an object or array, the field is the one whose value it is.
        String parent = field(context.getParent());
        if (context.inObject()) {
            return context.getCurrentName() == null ? parent : join(parent, context.getCurrentName());
        }
        return context.hasCurrentIndex() ? parent + "[" + context.getCurrentIndex() + "]" : parent;
    }

    /** Returns the full name of a field nested in {@code parent}. */
    static String join(String parent, String name) {
        return parent.isEmpty() ? name : parent + "." + name;
    }

    /** Returns the field's line, or the line of the nearest enclosing field; 1 if there is none. */
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
