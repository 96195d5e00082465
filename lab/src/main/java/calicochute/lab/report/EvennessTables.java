package calicochute.lab.report;

import calicochute.lab.evenness.Evenness;
import calicochute.lab.evenness.Load;
import calicochute.lab.evenness.TroubleResponse;
import java.util.Locale;

/** Writes the evenness of a tier's load as tables; the figures of the random choice are in brackets. */
final class EvennessTables {
    private EvennessTables() {}

    static void write(StringBuilder page, Evenness evenness) {
        page.append("<h2>How even the load was: ")
                .append(Report.escape(evenness.tier()))
                .append("</h2><p class=\"note\">")
                .append(
                        "Dispatches over what was expected of a server, for servers that were up, warm and hit by no trouble. In ")
                .append(
                        "brackets what a random choice weighted by capacity gives on the same arrivals. Spread: root mean square of ")
                .append(
                        "the difference, over the mean.</p><p>The most balancers that sent to one server within 100 ms: ")
                .append(String.format(Locale.ROOT, "%d (%.1f).</p>", evenness.herd(), evenness.herdByChance()));
        page.append("<table><tr><th>by capacity, s<th>servers<th>dispatches<th>most / mean<th>least / mean<th>spread");
        for (Evenness.Window window : evenness.windows()) {
            page.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%.0f to %.0f<td class=\"n\">%d<td class=\"n\">%d",
                    window.from(),
                    window.to(),
                    window.servers(),
                    window.dispatches()));
            appendLoad(page, window.load(), window.byChance());
        }
        page.append("</table>");
        for (Evenness.Phase phase : evenness.phases()) {
            page.append(String.format(
                            Locale.ROOT,
                            "<p>%.0f to %.0f s: %d dispatches to %d servers; they follow capacity "
                                    + "to the power of %.2f; independent random choices have a spread of %.3f.</p>",
                            phase.from(),
                            phase.to(),
                            phase.dispatches(),
                            phase.servers(),
                            phase.power(),
                            phase.noise()))
                    .append("<table><tr><th>expected<th>most<th>least<th>spread");
            for (Evenness.Part part : phase.parts()) {
                page.append("<tr><td>").append(Report.escape(part.against()));
                appendLoad(page, part.load(), part.byChance());
            }
            page.append("</table>");
        }
        for (TroubleResponse response : evenness.sick()) {
            page.append(String.format(
                            Locale.ROOT,
                            "<p>%s from %.1f to %.1f s, fair share %.3f: under a quarter of it after "
                                    + "%s, at nine tenths again %s after the end; %d first tries meanwhile, %.2f of the fair share.</p>",
                            Report.escape(response.trouble()),
                            response.from(),
                            response.to(),
                            response.fair(),
                            seconds(response.quarter()),
                            seconds(response.back()),
                            response.firstTries(),
                            response.ofFirstTries()))
                    .append("<p class=\"note\">Share over the fair one, by the second:");
            response.shares().forEach(share -> page.append(String.format(Locale.ROOT, " %.2f", share)));
            page.append("</p>");
        }
    }

    private static String seconds(Double value) {
        return value == null ? "never" : String.format(Locale.ROOT, "%.1f s", value);
    }

    private static void appendLoad(StringBuilder page, Load load, Load byChance) {
        appendCell(page, load.most(), byChance.most());
        appendCell(page, load.least(), byChance.least());
        appendCell(page, load.spread(), byChance.spread());
    }

    private static void appendCell(StringBuilder page, double value, double byChance) {
        page.append(String.format(Locale.ROOT, "<td class=\"n\">%.2f (%.2f)", value, byChance));
    }
}
