package calicochute.lab.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Scenarios that are bundled with the program as resources. */
final class BundledScenarios {
    private BundledScenarios() {}

    static String read(String name) throws IOException {
        try (InputStream in = BundledScenarios.class.getResourceAsStream("/calicochute/lab/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
