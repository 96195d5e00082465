package calicochute.exchange;

/** One named value that travels with a message, as it came. */
public record Field(String name, String value) {}
