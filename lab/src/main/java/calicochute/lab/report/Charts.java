package calicochute.lab.report;

import calicochute.lab.result.RunResult;
import calicochute.lab.result.RunResult.BalancerSecond;
import calicochute.lab.result.RunResult.ServerSecond;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.LookupPaintScale;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.chart.renderer.xy.XYBlockRenderer;
import org.jfree.chart.title.PaintScaleLegend;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.DefaultXYZDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import org.jfree.svg.ViewBox;

/** Draws the charts of a run as SVG with JFreeChart. Charts over time show troubles as bands in the background. */
final class Charts {
    private static final int WIDTH_PX = 880;
    private static final int HEIGHT_PX = 270;
    private static final int ROW_HEIGHT_PX = 13;
    /** With more balancers than this, only their mean and maximum are drawn. */
    private static final int MAX_BALANCER_LINES = 12;

    private static final Color TROUBLE_COLOR = new Color(220, 90, 60, 36);
    private static final Font LABEL_FONT = new Font("SansSerif", Font.PLAIN, 11);
    private final RunResult result;

    Charts(RunResult result) {
        this.result = result;
    }

    static String svg(JFreeChart chart, int height) {
        chart.setBackgroundPaint(Color.WHITE);
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH_PX, height);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH_PX, height));
        // A view box lets a page scale the chart down.
        return graphics.getSVGElement(null, true, new ViewBox(0, 0, WIDTH_PX, height), null, null);
    }

    private void style(XYPlot plot) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        ((NumberAxis) plot.getDomainAxis()).setAutoRangeIncludesZero(false);
        plot.getDomainAxis().setRange(0, Math.max(1, result.length()));
        for (RunResult.TroubleBand band : result.troubles()) {
            IntervalMarker marker =
                    new IntervalMarker(band.from(), Math.min(band.to(), result.length()), TROUBLE_COLOR);
            marker.setLabel(band.kind());
            marker.setLabelFont(LABEL_FONT);
            marker.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            marker.setLabelTextAnchor(org.jfree.chart.ui.TextAnchor.TOP_LEFT);
            plot.addDomainMarker(marker, Layer.BACKGROUND);
        }
    }

    private String lines(String yLabel, Map<String, XYSeries> series, Double max) {
        XYSeriesCollection data = new XYSeriesCollection();
        series.values().forEach(data::addSeries);
        JFreeChart chart = ChartFactory.createXYLineChart(
                null, "seconds", yLabel, data, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        style(plot);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(1.6f));
        }
        if (max != null) {
            plot.getRangeAxis().setRange(0, max);
        }
        return svg(chart, HEIGHT_PX);
    }

    private static XYSeries seriesOf(Map<String, XYSeries> series, String name) {
        return series.computeIfAbsent(name, XYSeries::new);
    }

    String serviceOverTime() {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        result.seconds()
                .forEach(s -> seriesOf(series, "service of requests first sent in the second")
                        .add(s.at() + 0.5, s.service()));
        return lines("share of worth served in time", series, 1.02);
    }

    String unservedRequests() {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        result.seconds().forEach(s -> {
            seriesOf(series, "denials, tries included").add(s.at() + 0.5, s.denials());
            seriesOf(series, "denied in the end").add(s.at() + 0.5, s.denied());
            seriesOf(series, "failed").add(s.at() + 0.5, s.failed());
            seriesOf(series, "late").add(s.at() + 0.5, s.late());
        });
        return lines("requests", series, null);
    }

    String requests() {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        result.seconds().forEach(s -> seriesOf(series, "first tries").add(s.at() + 0.5, s.requests()));
        return lines("requests a second", series, null);
    }

    String latencies() {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        for (RunResult.Latency l : result.latencies()) {
            if (l.count() > 0) {
                data.addValue(l.p50(), "p50", l.of());
                data.addValue(l.p90(), "p90", l.of());
                data.addValue(l.p99(), "p99", l.of());
                data.addValue(l.p999(), "p99.9", l.of());
            }
        }
        JFreeChart chart = bars("class", "milliseconds", data);
        LogAxis axis = new LogAxis("milliseconds");
        axis.setSmallestValue(0.1);
        chart.getCategoryPlot().setRangeAxis(axis);
        return svg(chart, HEIGHT_PX);
    }

    String dispatches() {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        result.dispatches().forEach(d -> data.addValue(d.requests(), d.tier(), Integer.toString(d.dispatches())));
        return svg(bars("dispatches of one request, all its tries together", "requests", data), HEIGHT_PX);
    }

    private static JFreeChart bars(String xLabel, String yLabel, DefaultCategoryDataset data) {
        JFreeChart chart =
                ChartFactory.createBarChart(null, xLabel, yLabel, data, PlotOrientation.VERTICAL, true, false, false);
        CategoryPlot plot = chart.getCategoryPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        BarRenderer renderer = (BarRenderer) plot.getRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        return chart;
    }

    /** A heat map of a tier with a row for each server and a block for each second; darker blocks are higher values. */
    String servers(int tier, String label, ToDoubleFunction<ServerSecond> value) {
        List<ServerSecond> samples =
                result.servers().stream().filter(s -> s.tier() == tier).toList();
        Set<String> names = new LinkedHashSet<>();
        samples.forEach(s -> names.add(s.server()));
        List<String> rows = List.copyOf(names);
        double[][] data = new double[3][samples.size()];
        double max = 1e-9;
        Map<String, Integer> rowIndices = new LinkedHashMap<>();
        rows.forEach(r -> rowIndices.put(r, rowIndices.size()));
        for (int i = 0; i < samples.size(); i++) {
            data[0][i] = samples.get(i).at() - 0.5;
            data[1][i] = rowIndices.get(samples.get(i).server());
            data[2][i] = value.applyAsDouble(samples.get(i));
            max = Math.max(max, data[2][i]);
        }
        DefaultXYZDataset dataset = new DefaultXYZDataset();
        dataset.addSeries(label, data);
        SymbolAxis axis = new SymbolAxis(null, rows.toArray(String[]::new));
        axis.setTickLabelFont(new Font("SansSerif", Font.PLAIN, 9));
        XYBlockRenderer renderer = new XYBlockRenderer();
        LookupPaintScale scale = new LookupPaintScale(0, max, Color.WHITE);
        for (int i = 1; i <= 20; i++) {
            int shade = 245 - i * 11;
            scale.add(max * (i - 0.5) / 20, new Color(shade, Math.min(255, shade + 18), Math.min(255, shade + 40)));
        }
        renderer.setPaintScale(scale);
        XYPlot plot = new XYPlot(dataset, new NumberAxis("seconds"), axis, renderer);
        style(plot);
        JFreeChart chart = new JFreeChart(null, JFreeChart.DEFAULT_TITLE_FONT, plot, false);
        PaintScaleLegend legend = new PaintScaleLegend(scale, new NumberAxis(label));
        legend.setPosition(RectangleEdge.RIGHT);
        legend.setStripWidth(10);
        chart.addSubtitle(legend);
        return svg(chart, Math.max(HEIGHT_PX / 2, 70 + ROW_HEIGHT_PX * rows.size()));
    }

    /** A line for each balancer, or lines of their mean and maximum if there are many. */
    String balancers(String label, ToDoubleFunction<BalancerSecond> value) {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        long count = result.balancers().stream()
                .map(BalancerSecond::balancer)
                .distinct()
                .count();
        if (count <= MAX_BALANCER_LINES) {
            result.balancers().forEach(b -> seriesOf(series, b.balancer()).addOrUpdate(b.at(), value.applyAsDouble(b)));
        } else {
            Map<Long, double[]> seconds = new java.util.TreeMap<>();
            for (BalancerSecond second : result.balancers()) {
                double[] sums = seconds.computeIfAbsent(Math.round(second.at()), s -> new double[3]);
                double sample = value.applyAsDouble(second);
                sums[0] += sample;
                sums[1]++;
                sums[2] = Math.max(sums[2], sample);
            }
            seconds.forEach((at, sums) -> {
                seriesOf(series, "mean of " + count).add((double) at, sums[0] / sums[1]);
                seriesOf(series, "highest").add((double) at, sums[2]);
            });
        }
        return lines(label, series, null);
    }
}
