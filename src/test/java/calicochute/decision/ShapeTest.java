package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module stays small enough to be ported by hand. */
class ShapeTest {
    private static final Path CHOICE = Path.of("src/main/java/calicochute/decision/Choice.java");

    @Test
    void moduleStaysWithinItsLines() throws IOException {
        List<String> lines = Files.readAllLines(CHOICE);
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= 550, () -> "Choice.java has " + filled + " lines that are not blank");
        lines.forEach(line -> assertTrue(line.length() <= 110, () -> "over 110 characters: " + line));
    }
}
