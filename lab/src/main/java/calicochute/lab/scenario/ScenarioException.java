package calicochute.lab.scenario;

import calicochute.errors.Code;
import calicochute.errors.CodedException;
import java.util.List;

/** Reports an invalid scenario, with every problem found in it. */
public final class ScenarioException extends CodedException {
    private static final long serialVersionUID = 1L;
    private final transient List<Problem> problems;

    /** A problem: its place and the rule it breaks. {@code line} counts from 1; 0 means that no line is known. */
    public record Problem(String file, int line, String field, String rule) {
        @Override
        public String toString() {
            return file + (line > 0 ? ":" + line : "") + ": " + (field.isEmpty() ? "" : field + ": ") + rule;
        }
    }

    public ScenarioException(List<Problem> problems) {
        super(
                Code.SCENARIO,
                "",
                String.join("\n", problems.stream().map(Problem::toString).toList()),
                null);
        this.problems = List.copyOf(problems);
    }

    public List<Problem> problems() {
        return problems;
    }
}
