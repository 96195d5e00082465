package calicochute.lab.scenario;

import calicochute.lab.scenario.ScenarioException.Complaint;
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
 * A scenario's text and where each of its lines stands. A file whose first line is {@code # base: FILE} takes over
 * every field of the outermost level that it does not give itself from that file, so that a deployment is written down
 * once; complaints name the file that a line comes from.
 */
record Source(String text, String name, List<Place> places) {
    private static final Pattern BASE = Pattern.compile("# *base: *(\\S+) *");
    private static final Pattern FIELD = Pattern.compile("([A-Za-z]\\w*):.*");

    record Place(String file, int line) {}

    static Source of(String name, String text) {
        return new Source(text, name, List.of());
    }

    static Source read(Path file) throws ScenarioException {
        String own = content(file);
        Matcher base = BASE.matcher(own.lines().findFirst().orElse(""));
        if (!base.matches()) {
            return of(file.toString(), own);
        }
        Path below = file.resolveSibling(base.group(1));
        StringBuilder text = new StringBuilder();
        List<Place> places = new ArrayList<>();
        Set<String> given = new HashSet<>();
        int number = 0;
        for (String line : own.lines().toList()) {
            Matcher field = FIELD.matcher(line);
            if (field.matches()) {
                given.add(field.group(1));
            }
            places.add(new Place(file.toString(), ++number));
            text.append(line).append('\n');
        }
        number = 0;
        boolean wanted = false;
        for (String line : content(below).lines().toList()) {
            number++;
            Matcher field = FIELD.matcher(line);
            wanted = field.matches() ? !given.contains(field.group(1)) : wanted;
            if (wanted) {
                places.add(new Place(below.toString(), number));
                text.append(line).append('\n');
            }
        }
        return new Source(text.toString(), file.toString(), places);
    }

    private static String content(Path file) throws ScenarioException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new ScenarioException(List.of(new Complaint(
                    file.toString(),
                    0,
                    "",
                    "can't be read: " + (Files.exists(file) ? e.getMessage() : "there is no such file"))));
        }
    }

    /** A complaint about a line of the text, in the words of the file that the line comes from. */
    Complaint complaint(int line, String field, String rule) {
        if (line < 1 || line > places.size()) {
            return new Complaint(name, line, field, rule);
        }
        Place place = places.get(line - 1);
        return new Complaint(place.file, place.line, field, rule);
    }
}
