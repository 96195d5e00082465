package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The policy files stay small enough to be ported by hand, and no other file of the package makes decisions. */
class ShapeTest {
    private static final Path ROOT = Path.of("..");
    private static final Path FOLDER = Path.of("src/main/java/calicochute/decision");
    /** Files that make no decisions: the interface to the hosts, and data. */
    private static final Set<String> NO_DECISIONS = Set.of(
            "Balancer.java",
            "Handover.java",
            "LearntState.java",
            "BalancerState.java",
            "TrackedBackend.java",
            "ClassStats.java",
            "Attempt.java",
            "Request.java",
            "package-info.java");

    /** The files that deploy/balancer.toml names as the policy. */
    private static List<Path> policy() throws IOException {
        String line = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                .filter(text -> text.startsWith("policy"))
                .findFirst()
                .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(line)
                .results()
                .map(match -> ROOT.resolve(match.group(1)))
                .toList();
    }

    @Test
    void policyStaysWithinItsLineLimits() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Path file : policy()) {
            lines.addAll(Files.readAllLines(file));
        }
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1200, () -> "the policy has " + count + " non-blank lines");
        lines.forEach(line -> assertTrue(line.length() <= 120, () -> "over 120 characters: " + line));
    }

    @Test
    void allFilesWithDecisionsAreCounted() throws IOException {
        Set<String> files = new TreeSet<>(NO_DECISIONS);
        policy().forEach(file -> files.add(file.getFileName().toString()));
        try (Stream<Path> present = Files.list(FOLDER)) {
            assertEquals(
                    files,
                    present.map(file -> file.getFileName().toString()).collect(Collectors.toCollection(TreeSet::new)));
        }
    }
}
