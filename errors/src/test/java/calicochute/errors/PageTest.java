package calicochute.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** docs/errors.md and the codes say the same. */
class PageTest {
    @Test
    void thePageListsEachErrorWithItsRemedy() throws Exception {
        List<String> rows = Files.readAllLines(Path.of("../docs/errors.md")).stream()
                .filter(l -> l.matches("\\| C\\d+ .*"))
                .map(l -> l.replaceAll("\\|[^|]*\\|$", "|"))
                .toList();
        List<String> wanted = Arrays.stream(Code.values())
                .map(c -> "| " + c.id() + " | " + c + " | " + c.remedy() + " |")
                .toList();
        assertEquals(wanted, rows);
    }

    @Test
    void noNumberStandsForTwoErrors() {
        assertEquals(
                Code.values().length,
                Arrays.stream(Code.values()).map(Code::id).distinct().count());
    }
}
