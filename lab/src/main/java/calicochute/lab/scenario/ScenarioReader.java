package calicochute.lab.scenario;

import calicochute.lab.scenario.ScenarioException.Problem;
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
 * Reads a scenario from YAML with Jackson and validates it. All problems of a file are reported together, each with its
 * line, its field and the rule it breaks. Bounds and rules across fields are checked only if every field could be
 * bound.
 */
public final class ScenarioReader {
    /** The expected form of a value of each type, as error messages state it. */
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

    /** Reads a scenario from a file and the base file that it names. */
    public static Scenario read(Path file) throws ScenarioException {
        return parse(ScenarioSource.read(file));
    }

    /** Reads a scenario from its text; problems give {@code name} as the file name. */
    public static Scenario parse(String name, String text) throws ScenarioException {
        return parse(ScenarioSource.of(name, text));
    }

    private static Scenario parse(ScenarioSource source) throws ScenarioException {
        String text = source.text();
        List<Problem> problems = new ArrayList<>();
        FieldLines lines;
        try {
            lines = FieldLines.of(text);
        } catch (IOException e) {
            throw new ScenarioException(
                    List.of(source.problem(line(e), "", "is not valid YAML: " + firstLine(e.getMessage()))));
        }
        if (lines.isEmpty()) {
            throw new ScenarioException(List.of(source.problem(1, "", "is empty")));
        }
        Scenario scenario = null;
        try {
            scenario = mapper(new ProblemCollector(source, lines, problems)).readValue(text, Scenario.class);
        } catch (JsonMappingException e) {
            String field = field(e);
            problems.add(source.problem(lines.line(field), field, rule(e)));
        } catch (JacksonException e) {
            problems.add(source.problem(line(e), "", firstLine(e.getOriginalMessage())));
        }
        reportUnknownFields(text, (field, rule) -> problems.add(source.problem(lines.line(field), field, rule)));
        if (problems.isEmpty()) {
            new ScenarioValidator(
                            scenario, (field, rule) -> problems.add(source.problem(lines.line(field), field, rule)))
                    .run();
        }
        if (!problems.isEmpty()) {
            throw new ScenarioException(problems);
        }
        return scenario;
    }

    /** Writes the scenario as YAML, with every default value included. */
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

    private static ObjectMapper mapper(ProblemCollector collector) {
        return YAMLMapper.builder()
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .addHandler(collector)
                .build();
    }

    /** Reports every field that no record component has the name of. */
    private static void reportUnknownFields(String text, BiConsumer<String, String> report) {
        try {
            reportUnknownFields("", new YAMLMapper().readTree(text), Scenario.class, report);
        } catch (JacksonException e) {
            report.accept("", firstLine(e.getOriginalMessage()));
        }
    }

    private static void reportUnknownFields(
            String parent, JsonNode node, Type type, BiConsumer<String, String> report) {
        if (node.isArray() && type instanceof ParameterizedType list) {
            for (int i = 0; i < node.size(); i++) {
                reportUnknownFields(parent + "[" + i + "]", node.get(i), list.getActualTypeArguments()[0], report);
            }
        } else if (node.isObject()
                && type instanceof Class<?> record
                && record.isRecord()
                && !FORMS.containsKey(record)) {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                String field = FieldLines.join(parent, entry.getKey());
                Arrays.stream(record.getRecordComponents())
                        .filter(c -> c.getName().equals(entry.getKey()))
                        .findFirst()
                        .ifPresentOrElse(
                                c -> reportUnknownFields(field, entry.getValue(), c.getGenericType(), report),
                                () -> report.accept(
                                        field, "is not known; there are: " + ProblemCollector.fields(record)));
            }
        }
    }

    /** Returns the field at which Jackson failed. */
    private static String field(JsonMappingException e) {
        String field = "";
        for (JsonMappingException.Reference step : e.getPath()) {
            field = step.getFieldName() == null
                    ? field + "[" + step.getIndex() + "]"
                    : FieldLines.join(field, step.getFieldName());
        }
        return field;
    }

    private static String rule(JsonMappingException e) {
        if (e instanceof ValueInstantiationException && e.getCause() != null) {
            return e.getCause().getMessage();
        }
        return e instanceof MismatchedInputException mismatch && mismatch.getTargetType() != null
                ? "is not " + ProblemCollector.form(mismatch.getTargetType())
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

    /** Records each value that Jackson cannot bind and continues with null, so that all problems are found. */
    private static final class ProblemCollector extends DeserializationProblemHandler {
        private final ScenarioSource source;
        private final FieldLines lines;
        private final List<Problem> problems;

        ProblemCollector(ScenarioSource source, FieldLines lines, List<Problem> problems) {
            this.source = source;
            this.lines = lines;
            this.problems = problems;
        }

        private Object addProblem(JsonParser parser, String rule) {
            String field = FieldLines.field(parser.getParsingContext());
            problems.add(source.problem(lines.line(field), field, rule));
            return null;
        }

        private static String form(Class<?> type) {
            if (type.isEnum()) {
                return "one of " + constantNames(type);
            }
            if (Collection.class.isAssignableFrom(type)) {
                return "a list";
            }
            return FORMS.getOrDefault(type, "a group of fields: " + fields(type));
        }

        private static String constantNames(Class<?> type) {
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

        /**
         * Ignores the field: {@link #reportUnknownFields} reports it, because Jackson may call this after reading past
         * it.
         */
        @Override
        public boolean handleUnknownProperty(
                DeserializationContext context,
                JsonParser parser,
                JsonDeserializer<?> deserializer,
                Object bean,
                String property)
                throws IOException {
            parser.skipChildren();
            return true;
        }

        @Override
        public Object handleWeirdStringValue(
                DeserializationContext context, Class<?> target, String value, String failure) {
            return addProblem(context.getParser(), "'" + value + "' is not " + form(target));
        }

        @Override
        public Object handleWeirdNumberValue(
                DeserializationContext context, Class<?> target, Number value, String failure) {
            return addProblem(context.getParser(), value + " is not " + form(target));
        }

        @Override
        public Object handleUnexpectedToken(
                DeserializationContext context, JavaType target, JsonToken token, JsonParser parser, String failure)
                throws IOException {
            String given = token != null && token.isScalarValue()
                    ? "'" + parser.getText() + "'"
                    : token == JsonToken.START_ARRAY ? "a list" : "a group of fields";
            addProblem(parser, given + " is not " + form(target.getRawClass()));
            parser.skipChildren();
            return null;
        }

        @Override
        public Object handleMissingInstantiator(
                DeserializationContext context,
                Class<?> type,
                ValueInstantiator instantiator,
                JsonParser parser,
                String message)
                throws IOException {
            if (parser.currentToken() != JsonToken.FIELD_NAME) {
                addProblem(
                        parser,
                        (parser.currentToken().isScalarValue() ? "'" + parser.getText() + "'" : "a list") + " is not "
                                + form(type));
                parser.skipChildren();
                return null;
            }
            // The parser is already inside the object, at its first field, but the problem concerns the object's own
            // field.
            String field = FieldLines.field(parser.getParsingContext().getParent());
            problems.add(source.problem(lines.line(field), field, "a group of fields is not " + form(type)));
            while (parser.currentToken() == JsonToken.FIELD_NAME) {
                parser.nextToken();
                parser.skipChildren();
                parser.nextToken();
            }
            return null;
        }

        @Override
        public Object handleInstantiationProblem(
                DeserializationContext context, Class<?> type, Object argument, Throwable cause) {
            Throwable root = cause.getCause() == null ? cause : cause.getCause();
            return addProblem(context.getParser(), root.getMessage());
        }
    }
}
