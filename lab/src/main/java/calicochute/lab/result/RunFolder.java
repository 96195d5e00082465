package calicochute.lab.result;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.Writer;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Reads and writes the folder of a run: result.json, a CSV table for each of its lists, and scenario.yaml. */
public final class RunFolder {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String RESULT_FILE = "result.json";

    private RunFolder() {}

    /** Writes a result, its tables and the scenario as YAML. */
    public static void write(Path folder, RunResult result, String scenario) throws IOException {
        Files.createDirectories(folder);
        JSON.writeValue(folder.resolve(RESULT_FILE).toFile(), result);
        Files.writeString(folder.resolve("scenario.yaml"), scenario);
        writeTable(folder.resolve("seconds.csv"), RunResult.Second.class, result.seconds());
        writeTable(folder.resolve("latencies.csv"), RunResult.Latency.class, result.latencies());
        writeTable(folder.resolve("servers.csv"), RunResult.ServerSecond.class, result.servers());
        writeTable(folder.resolve("balancers.csv"), RunResult.BalancerSecond.class, result.balancers());
        writeTable(folder.resolve("dispatches.csv"), RunResult.Dispatches.class, result.dispatches());
        writeTable(folder.resolve("breaches.csv"), RunResult.BreachLine.class, result.breaches());
        try (CSVPrinter csv = openCsv(folder.resolve("figures.csv"), "figure", "value")) {
            for (var figure : result.figures().entrySet()) {
                csv.printRecord(figure.getKey(), figure.getValue());
            }
        }
    }

    /** Reads the result of a run; an error message names the file. */
    public static RunResult read(Path folder) throws IOException {
        Path file = folder.resolve(RESULT_FILE);
        if (!Files.isRegularFile(file)) {
            throw new ResultException(folder.toString(), "holds no result (" + RESULT_FILE + " is missing)");
        }
        try {
            RunResult result = JSON.readValue(file.toFile(), RunResult.class);
            if (result.version() != RunResult.VERSION) {
                throw new ResultException(
                        file.toString(), "version " + result.version() + " is not " + RunResult.VERSION);
            }
            return result;
        } catch (JacksonException e) {
            throw new IOException(
                    file + ":" + (e.getLocation() == null ? "" : e.getLocation().getLineNr() + ":")
                            + " is no result of a run: " + e.getOriginalMessage(),
                    e);
        }
    }

    private static CSVPrinter openCsv(Path file, String... header) throws IOException {
        Writer out = Files.newBufferedWriter(file);
        return CSVFormat.RFC4180.builder().setHeader(header).get().print(out);
    }

    /** Writes records as a table with a column for each component. */
    private static <T extends Record> void writeTable(Path file, Class<T> type, List<T> rows) throws IOException {
        RecordComponent[] columns = type.getRecordComponents();
        try (CSVPrinter csv = openCsv(
                file, Arrays.stream(columns).map(RecordComponent::getName).toArray(String[]::new))) {
            for (T row : rows) {
                for (RecordComponent column : columns) {
                    csv.print(column.getAccessor().invoke(row));
                }
                csv.println();
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
