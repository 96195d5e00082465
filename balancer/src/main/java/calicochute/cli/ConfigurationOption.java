package calicochute.cli;

import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/** Where the configuration is: an option, else the environment. */
final class ConfigurationOption {
    @Parameter(names = "--config", description = "The configuration file (default: $PROXY_CONFIG)")
    private String file = System.getenv("PROXY_CONFIG");

    Configuration read() throws SettingsException {
        if (file == null) {
            throw new SettingsException("no configuration: set PROXY_CONFIG or give --config");
        }
        return Configuration.read(Path.of(file));
    }

    /** The file as it is now, in place of a running one. */
    Configuration readNext(Configuration running) throws SettingsException {
        return running.readNext(Path.of(file));
    }
}
