package calicochute.lab.experiment;

import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioException;
import calicochute.lab.scenario.ScenarioException.Problem;
import calicochute.lab.scenario.ScenarioReader;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;

/**
 * Sets one field of a scenario to another value.
 *
 * @param field named as in {@code tiers[0].kinds[1].cores}
 * @param value in YAML
 */
public record FieldChange(String field, String value) {
    /** Parses a scenario in which the field is set; {@code file} names the scenario in problems. */
    public Scenario apply(String file, String yaml) throws ScenarioException {
        YAMLMapper mapper = new YAMLMapper();
        try {
            JsonNode root = mapper.readTree(yaml);
            JsonNode newValue = mapper.readTree(value);
            String[] steps = field.replace("[", ".[").split("\\.");
            JsonNode node = root;
            for (int i = 0; i < steps.length - 1; i++) {
                JsonNode next = steps[i].startsWith("[") ? node.get(index(steps[i])) : node.get(steps[i]);
                if (next == null && node instanceof ObjectNode object && !steps[i + 1].startsWith("[")) {
                    next = object.putObject(steps[i]);
                }
                if (next == null) {
                    throw unknownField(file);
                }
                node = next;
            }
            String last = steps[steps.length - 1];
            if (node instanceof ArrayNode array && last.startsWith("[") && array.has(index(last))) {
                array.set(index(last), newValue);
            } else if (node instanceof ObjectNode object && !last.startsWith("[")) {
                object.set(last, newValue);
            } else {
                throw unknownField(file);
            }
            return ScenarioReader.parse(file + " with " + field + " = " + value, mapper.writeValueAsString(root));
        } catch (JacksonException e) {
            throw new ScenarioException(List.of(new Problem(file, 0, field, "cannot be set to " + value)));
        }
    }

    private ScenarioException unknownField(String file) {
        return new ScenarioException(List.of(new Problem(file, 0, field, "is not in the scenario")));
    }

    private static int index(String step) {
        String digits = step.replaceAll("[\\[\\]]", "");
        return digits.matches("\\d{1,4}") ? Integer.parseInt(digits) : -1;
    }
}
