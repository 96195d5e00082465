package calicochute.errors;

/** Base of checked exceptions with an error code, except for those that have to be an {@link java.io.IOException}. */
public abstract class CodedException extends Exception implements CodedError {
    private static final long serialVersionUID = 1L;
    private final Code code;
    private final String location;
    private final String problem;

    protected CodedException(Code code, String location, String problem, Throwable cause) {
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
