package calicochute.lab.result;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** Reports a folder that contains no usable result. */
public final class ResultException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public ResultException(String where, String seen) {
        super(Code.RESULT_FOLDER, where, seen, null);
    }
}
