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

class LearntFileTest {
    private static final long NOW = 1_000_000;
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

    /** The settings of a small deployment, with some entries put in place of its own. */
    private static Origin origin(String balancer, String... changed) throws SettingsException {
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
        for (String one : changed) {
            values.put(one.substring(0, one.indexOf('=')), one.substring(one.indexOf('=') + 1));
        }
        return Origin.of(balancer, SettingsParser.parse(values));
    }

    private LearntState taken(Origin reader) throws IOException {
        LearntFile.Note note = file().read(reader, NOW + 100);
        return note == null ? null : note.learnt();
    }

    private LearntFile file() {
        return new LearntFile(new SharedFolder(folder, "n0"));
    }

    @Test
    void whatAnotherDeploymentLearntIsNotTaken() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        assertEquals(LEARNT, taken(origin("n0")));
        String[] others = {
            "layer=0",
            "classes.0.name=read",
            "classes.0.effect=once",
            "classes.1.effect=once",
            "classes.1.key_scope=zone",
            "classes.count=1",
            "accounts.0.name=north",
            "accounts.count=1"
        };
        for (String other : others) {
            assertNull(taken(origin("n0", other)), other);
        }
        assertNull(taken(origin("n1")));
    }

    /** The same deployment, its limits and the order of its lists changed. */
    @Test
    void newAimsAndAnotherOrderTakeItOver() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        assertEquals(
                LEARNT,
                taken(origin(
                        "n0",
                        "classes.0.deadline=9",
                        "classes.0.objective=3",
                        "accounts.0.portion=0.1",
                        "caps.max_attempts=2")));
        assertEquals(
                LEARNT,
                taken(origin(
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
    void whatIsTornOrOldOrNamesNoOwnerIsNotTaken() throws Exception {
        file().write(origin("n0"), LEARNT, NOW);
        Path path = folder.resolve("calicochute-n0.learnt");
        String whole = Files.readString(path);
        assertNull(file().read(origin("n0"), NOW + 10_001));
        assertNull(file().read(origin("n0"), NOW - 1));
        for (int cut = 0; cut < whole.length(); cut += 7) {
            Files.writeString(path, whole.substring(0, cut));
            assertNull(taken(origin("n0")), "cut at " + cut);
        }
        Files.writeString(path, whole.replaceFirst("\"origin\":.*\"learnt\"", "\"learnt\""));
        assertNull(taken(origin("n0")));
    }
}
