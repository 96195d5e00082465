package calicochute.lab.scenario;

import calicochute.lab.scenario.ScenarioException.Problem;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of a scenario and the origin of each of its lines. A file whose first line is {@code # base: FILE} inherits
 * every top-level field that it does not define from that file, so that scenarios can share a deployment. Problems name
 * the file that the line comes from.
 *
 * @param origins the origin of each line; empty if the text is a single file
 */
record ScenarioSource(String text, String name, List<LineOrigin> origins) {
    private static final Pattern BASE = Pattern.compile("# *base: *(\\S+) *");
    private static final Pattern FIELD = Pattern.compile("([A-Za-z]\\w*):.*");

    /** The file and line number that a line of the text comes from. */
    record LineOrigin(String file, int line) {}

    static ScenarioSource of(String name, String text) {
        return new ScenarioSource(text, name, List.of());
    }

    static ScenarioSource read(Path file) throws ScenarioException {
        String ownText = content(file);
        Matcher base = BASE.matcher(ownText.lines().findFirst().orElse(""));
        if (!base.matches()) {
            return of(file.toString(), ownText);
        }
        Path baseFile = file.resolveSibling(base.group(1));
        StringBuilder text = new StringBuilder();
        List<LineOrigin> origins = new ArrayList<>();
        Set<String> defined = new HashSet<>();
        int number = 0;
        for (String line : ownText.lines().toList()) {
            Matcher field = FIELD.matcher(line);
            if (field.matches()) {
                defined.add(field.group(1));
            }
            origins.add(new LineOrigin(file.toString(), ++number));
            text.append(line).append('\n');
        }
        number = 0;
        boolean inherited = false;
        for (String line : content(baseFile).lines().toList()) {
            number++;
            Matcher field = FIELD.matcher(line);
            inherited = field.matches() ? !defined.contains(field.group(1)) : inherited;
            if (inherited) {
                origins.add(new LineOrigin(baseFile.toString(), number));
                text.append(line).append('\n');
            }
        }
        return new ScenarioSource(text.toString(), file.toString(), origins);
    }

    private static String content(Path file) throws ScenarioException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new ScenarioException(List.of(new Problem(
                    file.toString(),
                    0,
                    "",
                    "cannot be read: " + (Files.exists(file) ? e.getMessage() : "no such file"))));
        }
    }

    /** Creates a problem at a line of the text, with the file and line number that the line comes from. */
    Problem problem(int line, String field, String rule) {
        if (line < 1 || line > origins.size()) {
            return new Problem(name, line, field, rule);
        }
        LineOrigin origin = origins.get(line - 1);
        return new Problem(origin.file, origin.line, field, rule);
    }
}
