package calicochute.lab.emulator;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** Thrown when a process of a run does not start. */
public final class StartException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public StartException(String place, String observed) {
        super(Code.BALANCER_START, place, observed, null);
    }
}
