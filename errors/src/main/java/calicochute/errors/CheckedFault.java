package calicochute.errors;

/** An error that has to be handled; the base of those that are nothing else. */
public abstract class CheckedFault extends Exception implements Fault {
    private static final long serialVersionUID = 1L;
    private final Code code;
    private final String where;
    private final String seen;

    protected CheckedFault(Code code, String where, String seen, Throwable cause) {
        super(where.isEmpty() ? seen : where + ": " + seen, cause);
        this.code = code;
        this.where = where;
        this.seen = seen;
    }

    @Override
    public Code code() {
        return code;
    }

    @Override
    public String where() {
        return where;
    }

    @Override
    public String seen() {
        return seen;
    }
}
