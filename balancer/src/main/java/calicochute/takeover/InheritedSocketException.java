package calicochute.takeover;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** The environment announces an inherited listening socket that can't be used. */
public final class InheritedSocketException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    InheritedSocketException(String problem) {
        super(Code.INHERITED_SOCKET, "", problem, null);
    }
}
