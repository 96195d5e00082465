package calicochute.lab.result;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** A folder that holds no result that can be used. */
public final class ResultException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public ResultException(String where, String seen) {
        super(Code.RESULT_FOLDER, where, seen, null);
    }
}
