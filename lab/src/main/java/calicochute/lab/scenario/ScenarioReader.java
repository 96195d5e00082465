package calicochute.lab.scenario;

import calicochute.lab.scenario.ScenarioException.Complaint;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.databind.deser.ValueInstantiator;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * Reads a scenario from YAML by Jackson, and checks it. All faults of a file are told at once, each with its line, its
 * field and what would be right: first those of form; what the fields mean together is checked once the form holds.
 */
public final class ScenarioReader {
    private static final Map<Class<?>, String> FORMS = Map.of(
            Time.class,
            Time.FORM,
            Rate.class,
            Rate.FORM,
            Range.class,
            Range.FORM,
            Integer.class,
            "a whole number",
            Double.class,
            "a number",
            Boolean.class,
            "true or false",
            String.class,
            "a text");

    private ScenarioReader() {}

    public static Scenario read(Path file) throws ScenarioException {
        return parse(Source.read(file));
    }

    /** Reads a scenario's text; {@code name} stands for the file in complaints. */
    public static Scenario parse(String name, String text) throws ScenarioException {
        return parse(Source.of(name, text));
    }

    private static Scenario parse(Source source) throws ScenarioException {
        String text = source.text();
        List<Complaint> complaints = new ArrayList<>();
        Lines lines;
        try {
            lines = Lines.of(text);
        } catch (IOException e) {
            throw new ScenarioException(
                    List.of(source.complaint(line(e), "", "is no YAML: " + firstLine(e.getMessage()))));
        }
        if (lines.empty()) {
            throw new ScenarioException(List.of(source.complaint(1, "", "is empty")));
        }
        Scenario scenario = null;
        try {
            scenario = mapper(new Collector(source, lines, complaints)).readValue(text, Scenario.class);
        } catch (JsonMappingException e) {
            String field = field(e);
            complaints.add(source.complaint(lines.line(field), field, rule(e)));
        } catch (JacksonException e) {
            complaints.add(source.complaint(line(e), "", firstLine(e.getOriginalMessage())));
        }
        unknown(text, (field, rule) -> complaints.add(source.complaint(lines.line(field), field, rule)));
        if (complaints.isEmpty()) {
            new ScenarioCheck(
                            scenario, (field, rule) -> complaints.add(source.complaint(lines.line(field), field, rule)))
                    .run();
        }
        if (!complaints.isEmpty()) {
            throw new ScenarioException(complaints);
        }
        return scenario;
    }

    /** The scenario as YAML, with every default spelt out. */
    public static String write(Scenario scenario) {
        try {
            return YAMLMapper.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                    .defaultPropertyInclusion(com.fasterxml.jackson.annotation.JsonInclude.Value.construct(
                            com.fasterxml.jackson.annotation.JsonInclude.Include.NON_NULL, null))
                    .build()
                    .writeValueAsString(scenario);
        } catch (JacksonException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ObjectMapper mapper(Collector collector) {
        return YAMLMapper.builder()
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .addHandler(collector)
                .build();
    }

    /** Complains of every field that nothing is bound to. */
    private static void unknown(String text, BiConsumer<String, String> complain) {
        try {
            unknown("", new YAMLMapper().readTree(text), Scenario.class, complain);
        } catch (JacksonException e) {
            complain.accept("", firstLine(e.getOriginalMessage()));
        }
    }

    private static void unknown(String at, JsonNode node, Type type, BiConsumer<String, String> complain) {
        if (node.isArray() && type instanceof ParameterizedType list) {
            for (int i = 0; i < node.size(); i++) {
                unknown(at + "[" + i + "]", node.get(i), list.getActualTypeArguments()[0], complain);
            }
        } else if (node.isObject()
                && type instanceof Class<?> record
                && record.isRecord()
                && !FORMS.containsKey(record)) {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                String field = Lines.join(at, entry.getKey());
                Arrays.stream(record.getRecordComponents())
                        .filter(c -> c.getName().equals(entry.getKey()))
                        .findFirst()
                        .ifPresentOrElse(
                                c -> unknown(field, entry.getValue(), c.getGenericType(), complain),
                                () -> complain.accept(field, "is not known; there are: " + Collector.fields(record)));
            }
        }
    }

    /** The field at which Jackson gave up. */
    private static String field(JsonMappingException e) {
        String field = "";
        for (JsonMappingException.Reference step : e.getPath()) {
            field = step.getFieldName() == null
                    ? field + "[" + step.getIndex() + "]"
                    : Lines.join(field, step.getFieldName());
        }
        return field;
    }

    private static String rule(JsonMappingException e) {
        if (e instanceof ValueInstantiationException && e.getCause() != null) {
            return e.getCause().getMessage();
        }
        return e instanceof MismatchedInputException mismatch && mismatch.getTargetType() != null
                ? "is not " + Collector.form(mismatch.getTargetType())
                : firstLine(e.getOriginalMessage());
    }

    private static int line(IOException e) {
        return e instanceof JacksonException j && j.getLocation() != null
                ? Math.max(0, j.getLocation().getLineNr())
                : 0;
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("").replace("[Source: (StringReader)", "");
    }

    /** Notes what Jackson can't bind and goes on with nothing in its place, so that all faults are found. */
    private static final class Collector extends DeserializationProblemHandler {
        private final Source source;
        private final Lines lines;
        private final List<Complaint> complaints;

        Collector(Source source, Lines lines, List<Complaint> complaints) {
            this.source = source;
            this.lines = lines;
            this.complaints = complaints;
        }

        private Object note(JsonParser at, String rule) {
            String field = Lines.field(at.getParsingContext());
            complaints.add(source.complaint(lines.line(field), field, rule));
            return null;
        }

        private static String form(Class<?> type) {
            if (type.isEnum()) {
                return "one of " + words(type);
            }
            if (Collection.class.isAssignableFrom(type)) {
                return "a list";
            }
            return FORMS.getOrDefault(type, "a group of fields: " + fields(type));
        }

        private static String words(Class<?> type) {
            return Arrays.stream(type.getFields())
                    .filter(java.lang.reflect.Field::isEnumConstant)
                    .map(f -> f.getAnnotation(com.fasterxml.jackson.annotation.JsonProperty.class)
                            .value())
                    .collect(Collectors.joining(", "));
        }

        private static String fields(Class<?> type) {
            return type.getRecordComponents() == null
                    ? type.getSimpleName()
                    : Arrays.stream(type.getRecordComponents())
                            .map(java.lang.reflect.RecordComponent::getName)
                            .collect(Collectors.joining(", "));
        }

        /** Told by {@link #unknown}: Jackson may come to it late, when it has read on. */
        @Override
        public boolean handleUnknownProperty(
                DeserializationContext context,
                JsonParser p,
                JsonDeserializer<?> deserializer,
                Object bean,
                String property)
                throws IOException {
            p.skipChildren();
            return true;
        }

        @Override
        public Object handleWeirdStringValue(
                DeserializationContext context, Class<?> target, String value, String failure) {
            return note(context.getParser(), "'" + value + "' is not " + form(target));
        }

        @Override
        public Object handleWeirdNumberValue(
                DeserializationContext context, Class<?> target, Number value, String failure) {
            return note(context.getParser(), value + " is not " + form(target));
        }

        @Override
        public Object handleUnexpectedToken(
                DeserializationContext context, JavaType target, JsonToken token, JsonParser p, String failure)
                throws IOException {
            String given = token != null && token.isScalarValue()
                    ? "'" + p.getText() + "'"
                    : token == JsonToken.START_ARRAY ? "a list" : "a group of fields";
            note(p, given + " is not " + form(target.getRawClass()));
            p.skipChildren();
            return null;
        }

        @Override
        public Object handleMissingInstantiator(
                DeserializationContext context,
                Class<?> type,
                ValueInstantiator instantiator,
                JsonParser p,
                String message)
                throws IOException {
            if (p.currentToken() != JsonToken.FIELD_NAME) {
                note(
                        p,
                        (p.currentToken().isScalarValue() ? "'" + p.getText() + "'" : "a list") + " is not "
                                + form(type));
                p.skipChildren();
                return null;
            }
            // It stands within the group already, at its first field: the complaint is about the group as a whole.
            String field = Lines.field(p.getParsingContext().getParent());
            complaints.add(source.complaint(lines.line(field), field, "a group of fields is not " + form(type)));
            while (p.currentToken() == JsonToken.FIELD_NAME) {
                p.nextToken();
                p.skipChildren();
                p.nextToken();
            }
            return null;
        }

        @Override
        public Object handleInstantiationProblem(
                DeserializationContext context, Class<?> type, Object argument, Throwable cause) {
            Throwable root = cause.getCause() == null ? cause : cause.getCause();
            return note(context.getParser(), root.getMessage());
        }
    }
}
