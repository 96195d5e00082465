package calicochute.listening;

import calicochute.errors.Code;
import calicochute.errors.CodedIoException;
import java.io.IOException;
import java.net.InetSocketAddress;

/** The listening address could not be bound. */
public final class AddressException extends CodedIoException {
    private static final long serialVersionUID = 1L;

    AddressException(InetSocketAddress address, IOException cause) {
        super(Code.ADDRESS_TAKEN, "", "cannot listen at " + address + ": " + cause.getMessage(), cause);
    }
}
