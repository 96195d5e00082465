package calicochute.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.scenario.ScenarioException.Problem;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** An invalid scenario is rejected as a whole, with the line, the field and the rule of each problem. */
class ScenarioReaderTest {
    /** Fields that accept any text; a list in their place is rejected. */
    private static final Set<String> FREE_TEXT = Set.of("title", "shows", "name");

    private static String fullYaml() throws IOException {
        try (InputStream in = ScenarioReaderTest.class.getResourceAsStream("/calicochute/lab/full.yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static List<Problem> problems(String text) {
        return assertThrows(ScenarioException.class, () -> ScenarioReader.parse("s.yaml", text))
                .problems();
    }

    @Test
    void fullScenarioSurvivesRoundTrip() throws Exception {
        Scenario read = ScenarioReader.parse("s.yaml", fullYaml());
        assertEquals(20_000_000, read.length().micros());
        assertEquals(Range.of(0.85, 1.1), read.tiers().get(0).kinds().get(0).speed());
        assertEquals(Trouble.Kind.ZONE_CUT, read.troubles().get(2).kind());
        assertEquals(read, ScenarioReader.parse("again", ScenarioReader.write(read)));
    }

    /**
     * Breaks each field of the full file in turn: with values of a wrong form or out of bounds, and with an unknown
     * name.
     */
    @TestFactory
    Stream<DynamicTest> everyInvalidFieldIsReported() throws IOException {
        List<String> lines = fullYaml().lines().toList();
        List<DynamicTest> tests = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            int colon = line.indexOf(':');
            String key = line.substring(0, colon).replace("-", "").trim();
            boolean hasValue = colon < line.length() - 1;
            int number = i + 1;
            if (hasValue) {
                tests.add(replacedLine(lines, i, line.substring(0, colon) + ": {no: {such: thing}}", key, number));
                if (!FREE_TEXT.contains(key) && !key.equals("names")) {
                    tests.add(replacedLine(lines, i, line.substring(0, colon) + ": frobnicate", key, number));
                    tests.add(replacedLine(lines, i, line.substring(0, colon) + ": -1e12", key, number));
                }
            }
            int from = line.indexOf(key);
            tests.add(replacedLine(lines, i, line.substring(0, from) + "x" + line.substring(from), "x" + key, number));
        }
        return tests.stream();
    }

    private static DynamicTest replacedLine(List<String> lines, int index, String replacement, String key, int number) {
        List<String> changed = new ArrayList<>(lines);
        changed.set(index, replacement);
        return DynamicTest.dynamicTest("line " + number + ": " + replacement.trim(), () -> {
            List<Problem> problems = problems(String.join("\n", changed));
            assertTrue(
                    problems.stream()
                            .anyMatch(c -> c.line() == number
                                    && c.file().equals("s.yaml")
                                    && c.field().matches(".*\\b" + key + "(\\[\\d+\\])?")
                                    && !c.rule().isBlank()),
                    () -> "no problem reported for " + key + " at line " + number + " in " + problems);
        });
    }

    @Test
    void allProblemsAreReportedTogether() throws IOException {
        List<Problem> found = problems(fullYaml()
                .replace("cores: 2", "cores: two")
                .replace("400us", "400")
                .replace("effect: keyed", "effect: keyd"));
        assertEquals(3, found.size(), found::toString);
    }

    @Test
    void rulesAcrossFieldsAreChecked() throws IOException {
        record Case(String from, String to, String field, String rule) {}
        for (Case c : List.of(
                new Case("aim: 2500ms", "aim: 8s", "classes[0].aim", "giveUp"),
                new Case("share: 0.6", "share: 0.5", "tenants", "add up to 1"),
                new Case("    calls: [1, 2]\n", "", "tiers[0].calls", "between 1 and 5"),
                new Case(
                        "  utilisation: 0.55",
                        "  utilisation: 0.55\n  rate: 9/s",
                        "load",
                        "either rate or utilisation"),
                new Case("tier: front", "tier: attic", "troubles[4].tier", "front, catalogue"),
                new Case("    servers: 3\n", "", "troubles[0]", "either servers"),
                new Case("zone: west", "zone: south", "troubles[2].zone", "one of"),
                new Case("factor: 0.1", "factor: 1.5", "troubles[1].factor", "between 0 and 1"),
                new Case("at: 12s", "at: 20s", "troubles[2].at", "after the end"),
                new Case("window: 7500ms", "window: 0s", "classes[1].window", "window"),
                new Case("name: univ-library", "name: state-archive", "tenants[1]", "twice"),
                new Case("balancers: 1", "balancers: 4", "troubles[3].balancers", "only 3"),
                new Case("others: 2", "others: 4", "troubles[6].balancers", "only 4"),
                new Case("kind: net-cut", "kind: net-loss\n    factor: 2", "troubles[6].factor", "between 0 and 1"),
                new Case("  count: 3", "  count: 397", "tiers", "would need 401 balancers"))) {
            String text = fullYaml();
            assertTrue(text.contains(c.from), c.from);
            List<Problem> found = problems(text.replace(c.from, c.to));
            assertTrue(
                    found.stream()
                            .anyMatch(f -> f.field().equals(c.field) && f.rule().contains(c.rule) && f.line() > 1),
                    () -> c + ": " + found);
        }
    }

    /** The lab does not validate experiments; balancers get them as they are. */
    @Test
    void experimentsAreNotValidated() throws Exception {
        Scenario read = ScenarioReader.parse(
                "s.yaml",
                fullYaml()
                        .replace(
                                "experiments: []",
                                "experiments: [{name: e1, lanes: [view-map], share: 0.5, after: {hold: 1s}}, plain]"));
        assertEquals(
                "{name=e1, lanes=[view-map], share=0.5, after={hold=1s}}",
                read.fleet().experiments().get(0).toString());
        assertEquals(read, ScenarioReader.parse("again", ScenarioReader.write(read)));
        assertTrue(problems(fullYaml().replaceAll("(?s)fleet:.*troubles:", "troubles:")).stream()
                .anyMatch(c -> c.field().equals("troubles[6].kind") && c.rule().contains("fleet")));
    }

    @Test
    void inputThatIsNotAScenarioIsRejected() {
        assertTrue(
                problems("").get(0).rule().contains("empty"), () -> problems("").toString());
        assertTrue(problems("a: [b").get(0).rule().contains("YAML"));
        assertTrue(
                problems("just words").get(0).rule().contains("not"),
                () -> problems("just words").toString());
        assertTrue(
                problems("version: 1\nversion: 1\n").get(0).rule().contains("uplicate"),
                () -> problems("version: 1\nversion: 1\n").toString());
        ScenarioException missing =
                assertThrows(ScenarioException.class, () -> ScenarioReader.read(Path.of("no.yaml")));
        assertTrue(missing.getMessage().contains("no such file"), missing.getMessage());
    }

    @Test
    void shippedScenariosAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".yaml")).toList();
            for (Path file : all) {
                ScenarioReader.read(file);
            }
        }
    }
}
