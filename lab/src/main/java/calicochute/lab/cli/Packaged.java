package calicochute.lab.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Scenarios that come within the program. */
final class Packaged {
    private Packaged() {}

    static String scenario(String name) throws IOException {
        try (InputStream in = Packaged.class.getResourceAsStream("/calicochute/lab/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
