package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A truncated or mistyped configuration must be rejected and never take effect in part. */
class DocumentTest {
    private static final String VALID =
            "{\"name\":\"n0\",\"limits\":{\"cores\":1.0},\"known\":{\"instances\":[{\"instanceId\":\"a\"}]},"
                    + "\"settings\":{\"caps\":{\"max_attempts\":3},\"classes\":[{\"name\":\"v\",\"deadline\":900,\"window\":1},"
                    + "{\"name\":\"w\",\"deadline\":800}],\"tick\":5000}}";

    /** A text truncated anywhere, also inside a number or a string, is rejected. */
    @Property
    void truncatedTextIsRejected(@ForAll @IntRange(min = 0, max = 1000) int length) {
        String truncated = VALID.substring(0, length % VALID.length());
        assertThrows(SettingsException.class, () -> Document.parse(truncated));
    }

    @Test
    void textAfterTheEndIsRejected() {
        for (String text :
                new String[] {VALID + "}", VALID + VALID, "[]", "null", "7", "{'name':'n0'}", "{\"a\":1,}"}) {
            assertThrows(SettingsException.class, () -> Document.parse(text), text);
        }
    }

    @Test
    void deadlinesAndAttemptsArePositiveNumbers() throws SettingsException {
        Document.parse(VALID).checkLimits();
        for (String bad : new String[] {"0", "-5", "\"900\"", "\"soon\"", "null", "true", "[]", "{}", "1e30"}) {
            assertThrows(
                    SettingsException.class,
                    () -> Document.parse(VALID.replace(":800", ":" + bad)).checkLimits(),
                    "deadline " + bad);
            assertThrows(
                    SettingsException.class,
                    () -> Document.parse(VALID.replace(":3}", ":" + bad + "}")).checkLimits(),
                    "attempts " + bad);
        }
        assertThrows(
                SettingsException.class,
                () -> Document.parse(VALID.replace(":3}", ":2.5}")).checkLimits());
        assertThrows(SettingsException.class, () -> Document.parse(VALID.replace(":800", ":NaN")));
        assertThrows(
                SettingsException.class,
                () -> Document.parse(VALID.replace("\"w\"", "\"v\"")).checkLimits());
        Document.parse(VALID.replace(":3}", ":3.0}")).checkLimits();
    }

    /** A reloaded file that lacks any single key of the running configuration is rejected. */
    @Test
    void missingKeyIsNamed() throws SettingsException {
        Document running = Document.parse(VALID);
        assertEquals(Set.of(), Document.parse(VALID).missing(running));
        assertEquals(
                Set.of("settings.tick"),
                Document.parse(VALID.replace(",\"tick\":5000", "")).missing(running));
        assertEquals(
                Set.of("limits.cores"),
                Document.parse(VALID.replace("\"cores\":1.0", "")).missing(running));
        assertEquals(
                Set.of("settings.classes.1.deadline"),
                Document.parse(VALID.replace(",\"deadline\":800", "")).missing(running));
        assertEquals(
                Set.of("settings.caps"),
                Document.parse(VALID.replace("{\"max_attempts\":3}", "null")).missing(running));
        assertTrue(
                Document.parse(VALID.replace(",\"window\":1", ""))
                        .missing(running)
                        .isEmpty(),
                "a key that not every class had may be missing");
        assertTrue(
                Document.parse(VALID.replace("{\"instanceId\":\"a\"}", ""))
                        .missing(running)
                        .isEmpty(),
                "a list may be empty");
    }
}
