package calicochute.operator;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** An operator's file that can't be used: what was seen where. */
public final class OperatorFileException extends CodedException {
    private static final long serialVersionUID = 1L;
    private final String todo;

    OperatorFileException(String where, String seen) {
        this(Code.OPERATOR_FILE, where, seen, "");
    }

    /** @param todo what to do about this one, where more can be said than for all of its code */
    OperatorFileException(Code code, String where, String seen, String todo) {
        super(code, where, seen, null);
        this.todo = todo;
    }

    @Override
    public String remedy() {
        return todo.isEmpty() ? code().remedy() : todo + ". " + code().remedy();
    }
}
