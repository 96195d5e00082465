package calicochute.lab.emulator;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** A process of a run that did not start. */
public final class StartException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public StartException(String where, String seen) {
        super(Code.BALANCER_START, where, seen, null);
    }
}
