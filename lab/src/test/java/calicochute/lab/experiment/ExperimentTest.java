package calicochute.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.ScenarioException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the statistics over several runs, and changes of a scenario's fields. */
class ExperimentTest {
    @TempDir
    Path folder;

    private static RunResult run(long seed, double service, String ended) {
        return new RunResult(
                RunResult.VERSION,
                "t",
                "s",
                seed,
                1,
                ended,
                null,
                Map.of("service", service),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                List.of());
    }

    @Test
    void spreadIsRangeOverMedian() {
        Spread spread = Spread.of(List.of(run(1, 0.8, null), run(1, 1.0, null), run(1, 0.9, null), run(1, 0.7, null)))
                .get(0);
        assertEquals(0.85, spread.median(), 1e-9);
        assertEquals(0.3 / 0.85, spread.relativeRange(), 1e-9);
    }

    /** Differences of 0.1, 0.2 and 0.3 have a mean of 0.2 and a standard error of 0.0577; the t quantile is 4.303. */
    @Test
    void differencesArePairedBySeed() {
        Map<Long, List<Map<String, Double>>> base = Map.of(
                1L,
                List.of(Map.of("x", 1.0)),
                2L,
                List.of(Map.of("x", 2.0)),
                3L,
                List.of(Map.of("x", 2.0), Map.of("x", 4.0)),
                9L,
                List.of(Map.of("x", 100.0)));
        Map<Long, List<Map<String, Double>>> other =
                Map.of(1L, List.of(Map.of("x", 1.1)), 2L, List.of(Map.of("x", 2.2)), 3L, List.of(Map.of("x", 3.3)));
        PairedDifference difference = PairedDifference.of(base, other).get(0);
        assertEquals(3, difference.pairs());
        assertEquals(0.2, difference.mean(), 1e-9);
        assertEquals(0.2 - 4.303 * 0.1 / Math.sqrt(3), difference.low(), 1e-3);
        assertFalse(difference.excludesZero());
        assertTrue(Double.isInfinite(PairedDifference.of(base, Map.of(1L, List.of(Map.of("x", 1.0))))
                .get(0)
                .high()));
        assertEquals(List.of(), PairedDifference.of(base, Map.of(7L, List.of(Map.of("x", 1.0)))));
    }

    @Test
    void variantContainsUsableRunsOnly() throws Exception {
        RunFolder.write(folder.resolve("a"), run(1, 0.5, null), "version: 1\n");
        RunFolder.write(folder.resolve("b"), run(2, 0.7, null), "version: 1\n");
        RunFolder.write(folder.resolve("c"), run(3, 0.1, "interrupted"), "version: 1\n");
        Variant variant = Variant.read(folder);
        assertEquals(1, variant.skipped());
        assertEquals(List.of(1L, 2L), List.copyOf(variant.bySeed().keySet()));
        assertThrows(IOException.class, () -> Variant.read(folder.resolve("c")));
        assertThrows(IOException.class, () -> Variant.read(folder.resolve("none")));
        Files.writeString(folder.resolve("a/result.json"), "{\"version\": 1,\n \"seed\": tomorrow}");
        String message = assertThrows(IOException.class, () -> RunFolder.read(folder.resolve("a")))
                .getMessage();
        assertTrue(message.contains("result.json:2:"), message);
    }

    @Test
    void changedFieldIsValidated() throws Exception {
        String yaml;
        try (InputStream in = ExperimentTest.class.getResourceAsStream("/calicochute/lab/full.yaml")) {
            yaml = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        assertEquals(
                0.9,
                new FieldChange("load.utilisation", "0.9")
                        .apply("s", yaml)
                        .load()
                        .utilisation());
        assertEquals(
                8.0,
                new FieldChange("troubles[0].factor", "8")
                        .apply("s", yaml)
                        .troubles()
                        .get(0)
                        .factor());
        assertEquals(
                60,
                new FieldChange("tiers[1].kinds[0].idle", "60s")
                        .apply("s", yaml)
                        .tiers()
                        .get(1)
                        .kinds()
                        .get(0)
                        .idle()
                        .seconds());
        for (FieldChange invalid : List.of(
                new FieldChange("load.utilisation", "much"),
                new FieldChange("lood.x", "1"),
                new FieldChange("troubles[77].factor", "1"),
                new FieldChange("troubles[x].factor", "1"))) {
            assertThrows(ScenarioException.class, () -> invalid.apply("s", yaml), invalid::toString);
        }
    }
}
