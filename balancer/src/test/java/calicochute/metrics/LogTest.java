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

/** The lines as they come out of the backend. */
public class LogTest {
    private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}(Z|[+-]\\d\\d:\\d\\d) ";
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final PrintStream before = System.out;

    /** As a takeover does ({@code InheritedSocket}): the log follows standard output to its new stream. */
    @Before
    public void listen() {
        System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
    }

    @After
    public void giveBack() {
        System.setOut(before);
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().collect(Collectors.toList());
    }

    @Test
    public void aLineIsTimeLevelEventDetails() {
        Log.warn("discovery-failed", "status 400");
        Log.info("list", "generation=1\nentries={}");
        List<String> lines = lines();
        assertEquals(lines.toString(), 2, lines.size());
        assertTrue(lines.get(0), lines.get(0).matches(TIME + "WARN discovery-failed status 400"));
        assertTrue(lines.get(1), lines.get(1).matches(TIME + "INFO list generation=1 entries=\\{\\}"));
    }

    @Test
    public void aFloodIsCutShort() {
        // At most two of the clock's seconds are touched; whichever they are, far fewer than 500 lines may come out.
        for (int i = 0; i < 500; i++) {
            Log.warn("bad-input", "flood");
        }
        int lines = lines().size();
        assertTrue(lines + " lines", lines >= 10 && lines < 250);
    }

    @Test
    public void librariesHaveTheirWarningsWrittenAndNothingBelow() {
        LoggerFactory.getLogger("org.example.library").info("not for staff");
        LoggerFactory.getLogger("org.example.library").warn("a warning");
        assertEquals(lines().toString(), 1, lines().size());
        assertTrue(lines().get(0), lines().get(0).matches(TIME + "WARN a warning"));
    }
}
