package calicochute.errors;

import java.io.IOException;

/**
 * Base of exceptions with an error code that concern a file, folder or address. As an {@link IOException} they can be
 * thrown where a library's method declares that type.
 */
public abstract class CodedIoException extends IOException implements CodedError {
    private static final long serialVersionUID = 1L;
    private final Code code;
    private final String location;
    private final String problem;

    protected CodedIoException(Code code, String location, String problem, Throwable cause) {
        super(location.isEmpty() ? problem : location + ": " + problem, cause);
        this.code = code;
        this.location = location;
        this.problem = problem;
    }

    @Override
    public Code code() {
        return code;
    }

    @Override
    public String location() {
        return location;
    }

    @Override
    public String problem() {
        return problem;
    }
}
