package calicochute.errors;

import java.io.IOException;

/** An error of a file, folder or address, which signatures of libraries let through. */
public abstract class IoFault extends IOException implements Fault {
    private static final long serialVersionUID = 1L;
    private final Code code;
    private final String where;
    private final String seen;

    protected IoFault(Code code, String where, String seen, Throwable cause) {
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
