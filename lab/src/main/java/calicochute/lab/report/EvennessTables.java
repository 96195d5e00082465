package calicochute.lab.report;

import calicochute.lab.evenness.Evenness;
import calicochute.lab.evenness.Load;
import calicochute.lab.evenness.Sick;
import java.util.Locale;

/** How even a tier's load was, as tables; by chance in brackets. */
final class EvennessTables {
    private EvennessTables() {}

    static void write(StringBuilder page, Evenness e) {
        page.append("<h2>How even the load was: ")
                .append(Report.escape(e.tier()))
                .append("</h2><p class=\"note\">")
                .append(
                        "Dispatches over what was expected of a server, of those that were up, warm and in no trouble. In ")
                .append(
                        "brackets what a pick at random by capacity gives on the same arrivals. Spread: root mean square of ")
                .append(
                        "the difference, over the mean.</p><p>The most balancers that sent to one server within 100 ms: ")
                .append(String.format(Locale.ROOT, "%d (%.1f).</p>", e.herd(), e.herdByChance()));
        page.append("<table><tr><th>by capacity, s<th>servers<th>dispatches<th>most / mean<th>least / mean<th>spread");
        for (Evenness.Window w : e.windows()) {
            page.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%.0f to %.0f<td class=\"n\">%d<td class=\"n\">%d",
                    w.from(),
                    w.to(),
                    w.servers(),
                    w.dispatches()));
            load(page, w.load(), w.byChance());
        }
        page.append("</table>");
        for (Evenness.Phase p : e.phases()) {
            page.append(String.format(
                            Locale.ROOT,
                            "<p>%.0f to %.0f s: %d dispatches to %d servers; they follow capacity "
                                    + "to the power of %.2f; independent picks alone have a spread of %.3f.</p>",
                            p.from(),
                            p.to(),
                            p.dispatches(),
                            p.servers(),
                            p.power(),
                            p.noise()))
                    .append("<table><tr><th>expected<th>most<th>least<th>spread");
            for (Evenness.Part part : p.parts()) {
                page.append("<tr><td>").append(Report.escape(part.against()));
                load(page, part.load(), part.byChance());
            }
            page.append("</table>");
        }
        for (Sick s : e.sick()) {
            page.append(String.format(
                            Locale.ROOT,
                            "<p>%s from %.1f to %.1f s, fair share %.3f: under a quarter of it after "
                                    + "%s, at nine tenths again %s after the end; %d first tries meanwhile, %.2f of the fair share.</p>",
                            Report.escape(s.trouble()),
                            s.from(),
                            s.to(),
                            s.fair(),
                            seconds(s.quarter()),
                            seconds(s.back()),
                            s.firstTries(),
                            s.ofFirstTries()))
                    .append("<p class=\"note\">Share over the fair one, by the second:");
            s.shares().forEach(share -> page.append(String.format(Locale.ROOT, " %.2f", share)));
            page.append("</p>");
        }
    }

    private static String seconds(Double value) {
        return value == null ? "never" : String.format(Locale.ROOT, "%.1f s", value);
    }

    private static void load(StringBuilder page, Load load, Load byChance) {
        cell(page, load.most(), byChance.most());
        cell(page, load.least(), byChance.least());
        cell(page, load.spread(), byChance.spread());
    }

    private static void cell(StringBuilder page, double value, double byChance) {
        page.append(String.format(Locale.ROOT, "<td class=\"n\">%.2f (%.2f)", value, byChance));
    }
}
