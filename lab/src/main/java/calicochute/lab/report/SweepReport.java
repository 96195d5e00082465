package calicochute.lab.report;

import calicochute.lab.result.RunResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;

/**
 * Writes the report of a sweep: a table of all figures, and a page with charts of the main figures over the field's
 * values.
 */
public final class SweepReport {
    private static final int HEIGHT_PX = 300;
    /** The figures that each chart shows. */
    private static final List<List<String>> CHARTS = List.of(
            List.of("service", "service_worst_10s", "service_worst_class", "service_worst_tenant"),
            List.of("denied", "failed", "late", "wasted_work"),
            List.of("latency_p50_ms_all", "latency_p99_ms_all"));

    private SweepReport() {}

    /** Writes sweep.csv and sweep.html; {@code results} maps each value of the field to its run. */
    public static void write(Path folder, String field, Map<String, RunResult> results) throws IOException {
        Files.createDirectories(folder);
        List<String> figures =
                List.copyOf(results.values().iterator().next().figures().keySet());
        try (CSVPrinter csv = CSVFormat.RFC4180.print(Files.newBufferedWriter(folder.resolve("sweep.csv")))) {
            csv.print(field);
            csv.printRecord(figures);
            for (var entry : results.entrySet()) {
                csv.print(entry.getKey());
                for (String figure : figures) {
                    csv.print(entry.getValue().figures().get(figure));
                }
                csv.println();
            }
        }
        StringBuilder page = new StringBuilder(
                        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Sweep"
                                + "</title><style>body{font:14px sans-serif;margin:2em auto;max-width:920px}</style><h1>Sweep over ")
                .append(field.replace("<", "&lt;"))
                .append("</h1>");
        for (List<String> shown : CHARTS) {
            DefaultCategoryDataset data = new DefaultCategoryDataset();
            results.forEach(
                    (value, r) -> shown.forEach(f -> data.addValue(r.figures().get(f), f, value)));
            JFreeChart chart =
                    ChartFactory.createLineChart(null, field, null, data, PlotOrientation.VERTICAL, true, false, false);
            chart.getCategoryPlot().setBackgroundPaint(java.awt.Color.WHITE);
            page.append(Charts.svg(chart, HEIGHT_PX));
        }
        Files.writeString(folder.resolve("sweep.html"), page.append("</html>\n").toString());
    }
}
