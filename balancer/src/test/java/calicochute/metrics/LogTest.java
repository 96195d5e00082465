package calicochute.metrics;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.slf4j.LoggerFactory;

/** The lines that the SLF4J backend writes to standard output. */
public class LogTest {
    /** Regular expression of a line's time stamp. */
    private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}(Z|[+-]\\d\\d:\\d\\d) ";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream originalOut = System.out;

    /**
     * Replaces standard output after the logger exists, as {@code InheritedSocket} does: the log must follow it to the
     * new stream.
     */
    @Before
    public void captureOutput() {
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    }

    @After
    public void restoreOutput() {
        System.setOut(originalOut);
    }

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().collect(Collectors.toList());
    }

    @Test
    public void lineHasTimeLevelEventAndDetails() {
        Log.warn("discovery-failed", "status 400");
        Log.info("list", "generation=1\nentries={}");
        List<String> lines = lines();
        assertEquals(lines.toString(), 2, lines.size());
        assertTrue(lines.get(0), lines.get(0).matches(TIME + "WARN discovery-failed status 400"));
        assertTrue(lines.get(1), lines.get(1).matches(TIME + "INFO list generation=1 entries=\\{\\}"));
    }

    @Test
    public void floodOfLinesIsLimited() {
        // The loop touches at most two seconds of the clock, so far fewer than 500 lines may be written.
        for (int i = 0; i < 500; i++) {
            Log.warn("bad-input", "flood");
        }
        int lines = lines().size();
        assertTrue(lines + " lines", lines >= 10 && lines < 250);
    }

    @Test
    public void librariesLogWarningsButNotInfo() {
        LoggerFactory.getLogger("org.example.library").info("not written");
        LoggerFactory.getLogger("org.example.library").warn("a warning");
        assertEquals(lines().toString(), 1, lines().size());
        assertTrue(lines().get(0), lines().get(0).matches(TIME + "WARN a warning"));
    }
}
