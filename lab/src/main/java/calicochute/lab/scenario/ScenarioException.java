package calicochute.lab.scenario;

import calicochute.errors.Code;
import calicochute.errors.CodedException;
import java.util.List;

/** A scenario that can't be used, with every fault found in it. */
public final class ScenarioException extends CodedException {
    private static final long serialVersionUID = 1L;
    private final transient List<Complaint> complaints;

    /** One fault: where it stands and what would be right; {@code line} counts from 1, 0 where there is none. */
    public record Complaint(String file, int line, String field, String rule) {
        @Override
        public String toString() {
            return file + (line > 0 ? ":" + line : "") + ": " + (field.isEmpty() ? "" : field + ": ") + rule;
        }
    }

    public ScenarioException(List<Complaint> complaints) {
        super(
                Code.SCENARIO,
                "",
                String.join("\n", complaints.stream().map(Complaint::toString).toList()),
                null);
        this.complaints = List.copyOf(complaints);
    }

    public List<Complaint> complaints() {
        return complaints;
    }
}
