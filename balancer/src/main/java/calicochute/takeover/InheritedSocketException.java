package calicochute.takeover;

import calicochute.errors.Code;
import calicochute.errors.IoFault;

/** A listening socket was promised and is not there. */
public final class InheritedSocketException extends IoFault {
    private static final long serialVersionUID = 1L;

    InheritedSocketException(String seen) {
        super(Code.INHERITED_SOCKET, "", seen, null);
    }
}
