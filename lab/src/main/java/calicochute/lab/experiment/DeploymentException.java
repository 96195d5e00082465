package calicochute.lab.experiment;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;

/** Reports that the deploy file is missing or does not say how to start a balancer. */
public final class DeploymentException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    public DeploymentException(String where, String seen) {
        super(Code.DEPLOYMENT, where, seen, null);
    }
}
