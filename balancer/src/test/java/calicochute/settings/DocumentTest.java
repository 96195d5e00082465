package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class DocumentTest {
    private static final String GOOD =
            "{\"name\":\"n0\",\"limits\":{\"cores\":1.0},\"known\":{\"instances\":[{\"instanceId\":\"a\"}]},"
                    + "\"settings\":{\"caps\":{\"max_attempts\":3},\"classes\":[{\"name\":\"v\",\"deadline\":900,\"window\":1},"
                    + "{\"name\":\"w\",\"deadline\":800}],\"tick\":5000}}";

    /** Cut short anywhere, inside a number or a string too, it is refused. */
    @Property
    void whatIsCutShortIsRefused(@ForAll @IntRange(min = 0, max = 1000) int cut) {
        String part = GOOD.substring(0, cut % GOOD.length());
        assertThrows(SettingsException.class, () -> Document.parse(part));
    }

    @Test
    void whatFollowsTheEndIsRefused() {
        for (String text : new String[] {GOOD + "}", GOOD + GOOD, "[]", "null", "7", "{'name':'n0'}", "{\"a\":1,}"}) {
            assertThrows(SettingsException.class, () -> Document.parse(text), text);
        }
    }

    @Test
    void deadlinesAndAttemptsAreNumbersAboveZero() throws SettingsException {
        Document.parse(GOOD).checkLimits();
        for (String bad : new String[] {"0", "-5", "\"900\"", "\"soon\"", "null", "true", "[]", "{}", "1e30"}) {
            assertThrows(
                    SettingsException.class,
                    () -> Document.parse(GOOD.replace(":800", ":" + bad)).checkLimits(),
                    "deadline " + bad);
            assertThrows(
                    SettingsException.class,
                    () -> Document.parse(GOOD.replace(":3}", ":" + bad + "}")).checkLimits(),
                    "attempts " + bad);
        }
        assertThrows(
                SettingsException.class,
                () -> Document.parse(GOOD.replace(":3}", ":2.5}")).checkLimits());
        assertThrows(SettingsException.class, () -> Document.parse(GOOD.replace(":800", ":NaN")));
        assertThrows(
                SettingsException.class,
                () -> Document.parse(GOOD.replace("\"w\"", "\"v\"")).checkLimits());
        Document.parse(GOOD.replace(":3}", ":3.0}")).checkLimits();
    }

    /** Each key by itself: without it the file is not the whole of what the running one is. */
    @Test
    void aMissingKeyIsNamed() throws SettingsException {
        Document running = Document.parse(GOOD);
        assertEquals(Set.of(), Document.parse(GOOD).missing(running));
        assertEquals(
                Set.of("settings.tick"),
                Document.parse(GOOD.replace(",\"tick\":5000", "")).missing(running));
        assertEquals(
                Set.of("limits.cores"),
                Document.parse(GOOD.replace("\"cores\":1.0", "")).missing(running));
        assertEquals(
                Set.of("settings.classes.1.deadline"),
                Document.parse(GOOD.replace(",\"deadline\":800", "")).missing(running));
        assertEquals(
                Set.of("settings.caps"),
                Document.parse(GOOD.replace("{\"max_attempts\":3}", "null")).missing(running));
        assertTrue(
                Document.parse(GOOD.replace(",\"window\":1", ""))
                        .missing(running)
                        .isEmpty(),
                "not every class had it");
        assertTrue(
                Document.parse(GOOD.replace("{\"instanceId\":\"a\"}", ""))
                        .missing(running)
                        .isEmpty(),
                "a list may be empty");
    }
}
