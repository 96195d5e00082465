package calicochute.takeover;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** A listening socket was promised and is not there. */
public final class InheritedSocketException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    InheritedSocketException(String seen) {
        super(Code.INHERITED_SOCKET, "", seen, null);
    }
}
