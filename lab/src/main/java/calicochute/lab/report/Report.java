package calicochute.lab.report;

import calicochute.lab.result.RunResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Writes the report of a run, a self-contained HTML page with its figures, charts and rule violations. */
public final class Report {
    /** The name of the page within the folder of the run. */
    public static final String FILE_NAME = "report.html";

    private static final int MAX_BREACHES = 200;
    private static final String STYLE = """
        body{font:14px/1.45 sans-serif;margin:2em auto;max-width:920px;color:#222}h1{font-size:1.4em}
        h2{font-size:1.1em;margin-top:2em}table{border-collapse:collapse}td,th{padding:.15em .8em .15em 0;
        text-align:left;vertical-align:top}td.n{text-align:right;font-variant-numeric:tabular-nums}
        .bad{background:#fbe3dd;padding:.5em 1em}.note{color:#666}svg{max-width:100%;height:auto}
        .columns{columns:2}
        """;

    private Report() {}

    /** Writes the page to the folder of the run. */
    public static void write(Path folder, RunResult result) throws IOException {
        Files.writeString(folder.resolve(FILE_NAME), page(result));
    }

    static String page(RunResult result) {
        Charts charts = new Charts(result);
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .append(escape(result.title()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style><h1>")
                .append(escape(result.title()))
                .append("</h1><p>")
                .append(escape(result.shows()))
                .append("</p>");
        if (result.ended() != null) {
            page.append("<p class=\"bad\"><b>Partial.</b> The run ended early: ")
                    .append(escape(result.ended()))
                    .append(". Its figures are not used.</p>");
        } else if (result.invalid() != null) {
            page.append("<p class=\"bad\"><b>Void.</b> ")
                    .append(escape(result.invalid()))
                    .append(".</p>");
        }
        page.append("<p class=\"note\">Seed ")
                .append(result.seed())
                .append(", ")
                .append(String.format(Locale.ROOT, "%.0f s", result.length()))
                .append(". Bands mark troubles.</p>");
        appendBreaches(page, result);
        if (!result.seconds().isEmpty()) {
            appendSection(page, "Service over time", charts.serviceOverTime());
            appendSection(page, "Requests", charts.requests());
            appendSection(page, "Denied, failed and late requests", charts.unservedRequests());
        }
        if (result.latencies().stream().anyMatch(l -> l.count() > 0)) {
            appendSection(page, "Latency from the planned sending, by class", charts.latencies());
        }
        List<Integer> tiers = result.servers().stream()
                .map(RunResult.ServerSecond::tier)
                .distinct()
                .toList();
        for (int tier : tiers) {
            appendSection(
                    page,
                    "Dispatches to each server a second, tier " + (tier + 1),
                    charts.servers(tier, "dispatches a second", RunResult.ServerSecond::dispatches));
            appendSection(
                    page,
                    "Held and waiting at each server, tier " + (tier + 1),
                    charts.servers(tier, "in work and queue", s -> s.inWork() + s.inQueue()));
        }
        if (!result.dispatches().isEmpty()) {
            appendSection(page, "Dispatches for one request", charts.dispatches());
        }
        if (!result.balancers().isEmpty()) {
            appendSection(page, "CPU of balancers", charts.balancers("cores", RunResult.BalancerSecond::cores));
            appendSection(page, "Memory of balancers", charts.balancers("MB", RunResult.BalancerSecond::memoryMb));
        }
        appendTroubles(page, result);
        result.evenness().forEach(e -> EvennessTables.write(page, e));
        appendFigures(page, result);
        return page.append("</html>\n").toString();
    }

    private static void appendSection(StringBuilder page, String title, String svg) {
        page.append("<h2>").append(escape(title)).append("</h2>").append(svg);
    }

    private static void appendBreaches(StringBuilder page, RunResult result) {
        if (result.breaches().isEmpty()) {
            page.append("<p>All rules were kept.</p>");
            return;
        }
        page.append("<div class=\"bad\"><b>")
                .append(result.breaches().size())
                .append(" broken rules.</b><table><tr><th>rule<th>at s<th>balancer<th>session<th>server<th>details");
        result.breaches().stream()
                .limit(MAX_BREACHES)
                .forEach(b -> page.append("<tr><td>")
                        .append(escape(b.rule()))
                        .append("<td class=\"n\">")
                        .append(String.format(Locale.ROOT, "%.3f", b.at()))
                        .append("<td>")
                        .append(escape(b.balancer()))
                        .append("<td>")
                        .append(escape(b.session()))
                        .append("<td>")
                        .append(escape(b.server()))
                        .append("<td>")
                        .append(escape(b.details())));
        page.append("</table></div>");
    }

    private static void appendTroubles(StringBuilder page, RunResult result) {
        if (result.troubles().isEmpty()) {
            return;
        }
        page.append("<h2>Troubles</h2><table><tr><th>kind<th>from s<th>to s<th>victims");
        result.troubles()
                .forEach(t -> page.append("<tr><td>")
                        .append(escape(t.kind()))
                        .append("<td class=\"n\">")
                        .append(String.format(Locale.ROOT, "%.1f<td class=\"n\">%.1f<td>", t.from(), t.to()))
                        .append(escape(String.join(", ", t.victims()))));
        page.append("</table>");
    }

    private static void appendFigures(StringBuilder page, RunResult result) {
        page.append("<h2>Figures</h2><div class=\"columns\"><table>");
        result.figures()
                .forEach((name, value) -> page.append("<tr><td>")
                        .append(escape(name))
                        .append("<td class=\"n\">")
                        .append(String.format(Locale.ROOT, "%.4g", value)));
        page.append("</table></div>");
    }

    static String escape(String text) {
        return text == null
                ? ""
                : text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
