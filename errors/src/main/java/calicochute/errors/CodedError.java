package calicochute.errors;

/**
 * An exception with an error code, the location and description of the problem, and a remedy for the operator. This is
 * an interface, since some of these exceptions have to be of a type that a library's method declares, such as
 * {@link java.io.IOException}.
 */
public interface CodedError {
    Code code();

    /** The file, address or call concerned, with its line or entry if known; empty if the problem says it all. */
    String location();

    /** What is wrong. */
    String problem();

    /** What the operator can do. */
    default String remedy() {
        return code().remedy();
    }

    /** Text for people: location and problem on one line, code and remedy on the next. */
    default String text() {
        return (location().isEmpty() ? "" : location() + ": ") + problem() + "\n  " + code().id() + ": " + remedy();
    }
}
