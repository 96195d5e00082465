package calicochute.cli;

import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/** The option that names the configuration file; its default is taken from the environment. */
final class ConfigurationOption {
    @Parameter(names = "--config", description = "The configuration file (default: $PROXY_CONFIG)")
    private String file = System.getenv("PROXY_CONFIG");

    Configuration read() throws SettingsException {
        if (file == null) {
            throw new SettingsException("no configuration: set PROXY_CONFIG or give --config");
        }
        return Configuration.read(Path.of(file));
    }

    /** Reads the file again, as the successor of the running configuration. */
    Configuration readNext(Configuration running) throws SettingsException {
        return running.readNext(Path.of(file));
    }
}
