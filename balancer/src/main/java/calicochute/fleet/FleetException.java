package calicochute.fleet;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/**
 * A problem that keeps this balancer out of the fleet, or the state of its experiments from being used or saved. The
 * balancer serves without it.
 */
public final class FleetException extends CodedException {
    private static final long serialVersionUID = 1L;

    FleetException(Code code, String location, String problem) {
        super(code, location, problem, null);
    }
}
