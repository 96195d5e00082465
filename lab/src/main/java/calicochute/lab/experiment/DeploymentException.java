package calicochute.lab.experiment;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** A deployment that the lab cannot start balancers from. */
public final class DeploymentException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public DeploymentException(String where, String seen) {
        super(Code.DEPLOYMENT, where, seen, null);
    }
}
