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

/** A scenario with one field set to another value; the field is named as in {@code tiers[0].kinds[1].cores}. */
public record FieldChange(String field, String value) {
    public Scenario apply(String file, String yaml) throws ScenarioException {
        YAMLMapper mapper = new YAMLMapper();
        try {
            JsonNode root = mapper.readTree(yaml);
            JsonNode given = mapper.readTree(value);
            String[] steps = field.replace("[", ".[").split("\\.");
            JsonNode at = root;
            for (int i = 0; i < steps.length - 1; i++) {
                JsonNode next = steps[i].startsWith("[") ? at.get(index(steps[i])) : at.get(steps[i]);
                if (next == null && at instanceof ObjectNode object && !steps[i + 1].startsWith("[")) {
                    next = object.putObject(steps[i]);
                }
                if (next == null) {
                    throw unknown(file);
                }
                at = next;
            }
            String last = steps[steps.length - 1];
            if (at instanceof ArrayNode array && last.startsWith("[") && array.has(index(last))) {
                array.set(index(last), given);
            } else if (at instanceof ObjectNode object && !last.startsWith("[")) {
                object.set(last, given);
            } else {
                throw unknown(file);
            }
            return ScenarioReader.parse(file + " with " + field + " = " + value, mapper.writeValueAsString(root));
        } catch (JacksonException e) {
            throw new ScenarioException(List.of(new Problem(file, 0, field, "can't be set to " + value)));
        }
    }

    private ScenarioException unknown(String file) {
        return new ScenarioException(List.of(new Problem(file, 0, field, "is not in the scenario")));
    }

    private static int index(String step) {
        String digits = step.replaceAll("[\\[\\]]", "");
        return digits.matches("\\d{1,4}") ? Integer.parseInt(digits) : -1;
    }
}
