package calicochute.wire;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** The simulator's input is malformed; the message names the line and the problem. */
public final class WireException extends CodedException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(Code.WIRE, "", message, null);
    }
}
