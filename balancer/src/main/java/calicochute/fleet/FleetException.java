package calicochute.fleet;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** What keeps this balancer from taking part in the fleet, or its experiments from being remembered. It serves on. */
public final class FleetException extends CodedException {
    private static final long serialVersionUID = 1L;

    FleetException(Code code, String where, String seen) {
        super(code, where, seen, null);
    }
}
