package calicochute.settings;

/** Settings or a configuration that can't be used; the message says what is wrong with them. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
