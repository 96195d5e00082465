package calicochute.exchange;

import java.util.List;

/** What the client sent and a backend server is to get, kept as it came; whoever holds it must not change it. */
public record Message(String method, String target, List<Field> fields, Body body) {}
