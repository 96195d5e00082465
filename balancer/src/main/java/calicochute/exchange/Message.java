package calicochute.exchange;

import java.util.List;

/** A request as the client sent it and a backend server receives it. Holders must not modify it. */
public record Message(String method, String target, List<Field> fields, Body body) {
    private static final Body NO_BODY = new Body.Buffered(new byte[0]);

    /** The same message without its body. */
    public Message withoutBody() {
        return new Message(method, target, fields, NO_BODY);
    }
}
