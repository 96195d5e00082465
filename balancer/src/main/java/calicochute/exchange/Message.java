package calicochute.exchange;

import java.util.List;

/** A request as the client sent it and a backend server receives it. Holders must not modify it. */
public record Message(String method, String target, List<Field> fields, Body body) {}
