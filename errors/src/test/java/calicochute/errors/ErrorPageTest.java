package calicochute.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The operators' page of errors has to list each code with its remedy as the program prints it. */
class ErrorPageTest {
    @Test
    void thePageListsEachCodeWithItsRemedy() throws Exception {
        List<String> rows = Files.readAllLines(Path.of("../docs/errors.md")).stream()
                .filter(line -> line.matches("\\| C\\d+ .*"))
                .map(line -> line.replaceAll("\\|[^|]*\\|$", "|"))
                .toList();
        List<String> expected = Arrays.stream(Code.values())
                .map(code -> "| " + code.id() + " | " + code + " | " + code.remedy() + " |")
                .toList();
        assertEquals(expected, rows);
    }

    @Test
    void numbersAreUnique() {
        assertEquals(
                Code.values().length,
                Arrays.stream(Code.values()).map(Code::id).distinct().count());
    }
}
