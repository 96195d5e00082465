package calicochute.lab.result;

import calicochute.errors.Code;
import calicochute.errors.IoFault;

/** Reports a folder that contains no usable result. */
public final class ResultException extends IoFault {
    private static final long serialVersionUID = 1L;

    public ResultException(String where, String seen) {
        super(Code.RESULT_FOLDER, where, seen, null);
    }
}
