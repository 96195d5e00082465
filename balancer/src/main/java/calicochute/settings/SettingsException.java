package calicochute.settings;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** Settings, a configuration or a list that can't be used; the message says what is wrong with them. */
public final class SettingsException extends CodedException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        this(Code.SETTINGS, "", message);
    }

    public SettingsException(Code code, String where, String seen) {
        super(code, where, seen, null);
    }

    /** The same fault, told with the place where it was met. */
    public SettingsException in(String place) {
        return new SettingsException(code(), location().isEmpty() ? place : place + ": " + location(), problem());
    }
}
