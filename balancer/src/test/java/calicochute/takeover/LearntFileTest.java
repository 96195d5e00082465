package calicochute.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import calicochute.decision.LearntState;
import calicochute.settings.SettingsException;
import calicochute.settings.SettingsParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A learnt state is used only by the deployment that it was learnt in, and only if it is whole and fresh. */
class LearntFileTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final SaveTime NOW = later(0, 0);
    private static final LearntState LEARNT = new LearntState(
            Map.of("s1", new LearntState.ServerEstimate(0.5, true, 0)),
            Map.of("view", new LearntState.ClassEstimate(9, 5, 3, 7, 1)),
            1,
            8,
            0.5,
            2,
            30,
            4);

    @TempDir
    private Path folder;

    /** A moment as both clocks show it, after the wall clock has stepped. */
    private static SaveTime later(long afterMs, long stepMs) {
        return new SaveTime(1_000_000 + afterMs + stepMs, (5_000_000 + afterMs) * NANOS_PER_MS);
    }

    /** The origin of a small deployment, some of whose settings are replaced by {@code key=value} entries. */
    private static Origin origin(String balancer, String... replacements) throws SettingsException {
        Map<String, String> values = new HashMap<>(Map.of(
                "nonce64",
                "1",
                "layer",
                "1",
                "classes.count",
                "2",
                "classes.0.name",
                "view",
                "classes.0.effect",
                "repeatable",
                "classes.1.name",
                "order",
                "classes.1.effect",
                "by_key",
                "classes.1.key_scope",
                "all"));
        values.putAll(Map.of("accounts.count", "2", "accounts.0.name", "east", "accounts.1.name", "west"));
        for (String entry : replacements) {
            values.put(entry.substring(0, entry.indexOf('=')), entry.substring(entry.indexOf('=') + 1));
        }
        return Origin.of(balancer, SettingsParser.parse(values));
    }

    private LearntState read(Origin reader) throws IOException {
        LearntFile.Snapshot snapshot = file().read(reader, later(100, 0));
        return snapshot == null ? null : snapshot.learnt();
    }

    private LearntFile file() {
        return new LearntFile(new SharedFolder(folder, "n0"));
    }

    @Test
    void stateOfAnotherDeploymentIsNotUsed() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        assertEquals(LEARNT, read(origin("n0")));
        String[] differences = {
            "layer=0",
            "classes.0.name=read",
            "classes.0.effect=once",
            "classes.1.effect=once",
            "classes.1.key_scope=zone",
            "classes.count=1",
            "accounts.0.name=north",
            "accounts.count=1"
        };
        for (String difference : differences) {
            assertNull(read(origin("n0", difference)), difference);
        }
        assertNull(read(origin("n1")));
    }

    /** The state stays usable if limits, objectives or the order of the settings' lists change. */
    @Test
    void stateIsUsedAfterChangesOfLimitsAndOrder() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        assertEquals(
                LEARNT,
                read(origin(
                        "n0",
                        "classes.0.deadline=9",
                        "classes.0.objective=3",
                        "accounts.0.portion=0.1",
                        "caps.max_attempts=2")));
        assertEquals(
                LEARNT,
                read(origin(
                        "n0",
                        "classes.0.name=order",
                        "classes.0.effect=by_key",
                        "classes.0.key_scope=all",
                        "classes.1.name=view",
                        "classes.1.effect=repeatable",
                        "classes.1.key_scope=cell",
                        "accounts.0.name=west",
                        "accounts.1.name=east")));
    }

    @Test
    void truncatedOrOldOrOwnerlessStateIsNotUsed() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        Path path = folder.resolve("calicochute-n0.learnt");
        String text = Files.readString(path);
        assertNull(file().read(origin("n0"), later(10_001, 0)));
        assertNull(file().read(origin("n0"), later(-1, 0)));
        for (int length = 0; length < text.length(); length += 7) {
            Files.writeString(path, text.substring(0, length));
            assertNull(read(origin("n0")), "truncated to " + length);
        }
        Files.writeString(path, text.replaceFirst("\"origin\":.*\"learnt\"", "\"learnt\""));
        assertNull(read(origin("n0")));
    }

    /** Guards against ages that follow steps of the wall clock between a write and a read. */
    @Test
    void stepsOfTheWallClockDoNotChangeTheAge() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        for (long stepMs : new long[] {-3_600_000, -5_000, 5_000, 3_600_000}) {
            LearntFile.Snapshot snapshot = file().read(origin("n0"), later(700, stepMs));
            assertEquals(700, snapshot.ageMs(later(700, stepMs)), "step of " + stepMs);
            assertNull(file().read(origin("n0"), later(10_001, stepMs)), "step of " + stepMs);
        }
    }

    /** A file of an earlier release has the wall clock's time only. */
    @Test
    void stateOfAnEarlierReleaseIsUsed() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        Path path = folder.resolve("calicochute-n0.learnt");
        Files.writeString(path, Files.readString(path).replaceFirst("\"atNanos\":\\d+,", ""));
        assertEquals(LEARNT, read(origin("n0")));
        assertNull(file().read(origin("n0"), later(10_001, 0)));
    }
}
