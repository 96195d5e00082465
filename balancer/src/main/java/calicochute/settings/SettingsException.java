package calicochute.settings;

import calicochute.errors.Code;
import calicochute.errors.CodedException;

/** Invalid settings, an invalid configuration or an invalid server list; the message says what is wrong. */
public final class SettingsException extends CodedException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        this(Code.SETTINGS, "", message);
    }

    /**
     * @param location where the problem is, or empty
     * @param problem what is wrong
     */
    public SettingsException(Code code, String location, String problem) {
        super(code, location, problem, null);
    }

    /** The same problem with its location prefixed by {@code place}. */
    public SettingsException in(String place) {
        return new SettingsException(code(), location().isEmpty() ? place : place + ": " + location(), problem());
    }
}
