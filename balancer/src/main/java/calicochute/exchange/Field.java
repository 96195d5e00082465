package calicochute.exchange;

/** A header field, unchanged as received. */
public record Field(String name, String value) {}
