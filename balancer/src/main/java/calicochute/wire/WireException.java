package calicochute.wire;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** Malformed input; the message names the line and what is wrong with it. */
public final class WireException extends CodedException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(Code.WIRE, "", message, null);
    }
}
