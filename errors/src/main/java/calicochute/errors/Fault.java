package calicochute.errors;

/**
 * An error of this program: each has a code, what was seen, where, and what an operator can do. An interface, since
 * some of them must also be what a library's signatures allow ({@link java.io.IOException}).
 */
public interface Fault {
    /** Which of the errors listed in docs/errors.md it is. */
    Code code();

    /** The file, address or call concerned, with line or entry where there is one; empty where the words say it all. */
    String where();

    /** What was found there. */
    String seen();

    /** What an operator can do. */
    default String remedy() {
        return code().remedy();
    }

    /** All of it for people: the place and what was seen on one line, code and remedy on the next. */
    default String text() {
        return (where().isEmpty() ? "" : where() + ": ") + seen() + "\n  " + code().id() + ": " + remedy();
    }
}
