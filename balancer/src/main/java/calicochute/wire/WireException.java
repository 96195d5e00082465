package calicochute.wire;

import calicochute.errors.CheckedFault;
import calicochute.errors.Code;

/** Malformed input; the message names the line and what is wrong with it. */
public final class WireException extends CheckedFault {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(Code.WIRE, "", message, null);
    }
}
