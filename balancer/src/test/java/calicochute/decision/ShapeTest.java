package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module stays small enough to be ported by hand. */
class ShapeTest {
    private static final Path FOLDER = Path.of("src/main/java/calicochute/decision");

    @Test
    void moduleStaysWithinItsLines() throws IOException {
        List<String> lines = new ArrayList<>(Files.readAllLines(FOLDER.resolve("Choice.java")));
        lines.addAll(Files.readAllLines(FOLDER.resolve("Track.java")));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= 620, () -> "the module has " + filled + " lines that are not blank");
        lines.forEach(line -> assertTrue(line.length() <= 110, () -> "over 110 characters: " + line));
    }
}
