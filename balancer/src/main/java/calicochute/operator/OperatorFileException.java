package calicochute.operator;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** An invalid operator's file. */
public final class OperatorFileException extends CodedException {
    private static final long serialVersionUID = 1L;
    private final String advice;

    OperatorFileException(String location, String problem) {
        this(Code.OPERATOR_FILE, location, problem, "");
    }

    /** @param advice how to correct this problem, in addition to the remedy of its code; empty for none */
    OperatorFileException(Code code, String location, String problem, String advice) {
        super(code, location, problem, null);
        this.advice = advice;
    }

    @Override
    public String remedy() {
        return advice.isEmpty() ? code().remedy() : advice + ". " + code().remedy();
    }
}
