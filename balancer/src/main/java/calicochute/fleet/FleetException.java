package calicochute.fleet;

import calicochute.errors.CheckedFault;
import calicochute.errors.Code;

/** What keeps this balancer from taking part in the fleet, or its experiments from being remembered. It serves on. */
public final class FleetException extends CheckedFault {
    private static final long serialVersionUID = 1L;

    FleetException(Code code, String where, String seen) {
        super(code, where, seen, null);
    }
}
