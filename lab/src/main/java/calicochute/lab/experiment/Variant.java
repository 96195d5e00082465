package calicochute.lab.experiment;

import calicochute.lab.result.ResultException;
import calicochute.lab.result.RunFolder;
import calicochute.lab.result.RunResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * One side of a comparison: the usable runs in a folder.
 *
 * @param skipped the number of runs that are left out because they are partial or void
 */
public record Variant(String name, List<RunResult> runs, int skipped) {
    /** Reads the run in a folder, or the runs in its direct subfolders. */
    public static Variant read(Path folder) throws IOException {
        List<Path> folders = new ArrayList<>();
        if (Files.isRegularFile(folder.resolve("result.json"))) {
            folders.add(folder);
        } else if (Files.isDirectory(folder)) {
            try (Stream<Path> inside = Files.list(folder)) {
                inside.filter(f -> Files.isRegularFile(f.resolve("result.json")))
                        .sorted()
                        .forEach(folders::add);
            }
        }
        if (folders.isEmpty()) {
            throw new ResultException(folder.toString(), "holds no result of a run");
        }
        List<RunResult> runs = new ArrayList<>();
        int skipped = 0;
        for (Path runFolder : folders) {
            RunResult run = RunFolder.read(runFolder);
            if (run.usable()) {
                runs.add(run);
            } else {
                skipped++;
            }
        }
        if (runs.isEmpty()) {
            throw new ResultException(folder.toString(), "none of its " + skipped + " runs counts");
        }
        return new Variant(folder.toString(), runs, skipped);
    }

    /** Returns the figures of the runs with each seed. */
    public Map<Long, List<Map<String, Double>>> bySeed() {
        Map<Long, List<Map<String, Double>>> seeds = new TreeMap<>();
        runs.forEach(
                r -> seeds.computeIfAbsent(r.seed(), s -> new ArrayList<>()).add(r.figures()));
        return seeds;
    }
}
