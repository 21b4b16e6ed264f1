package io.caperturn.replay.report;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Plot of the ratio of response time to ideal response time by percentile, with one line for each policy and urgency.
 */
public final class ResponseTimePlot {
    private static final int WIDTH_PIXELS = 1_000;
    private static final int HEIGHT_PIXELS = 600;
    /** Lower bound of plotted ratios, since a logarithmic axis has no 0. */
    private static final double MINIMUM_PLOTTED_RATIO = 0.01;

    private ResponseTimePlot() {}

    /**
     * Writes the plot as SVG.
     *
     * @param report the report
     * @param file the file to write
     * @throws IOException if the file can't be written
     */
    public static void writeSvg(ReplayReport report, Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(report.trace() + ", " + report.deployment())
                .xAxisTitle("percentile")
                .yAxisTitle("response time over ideal")
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        for (Measures measures : report.policies()) {
            addSeries(chart, measures.policy() + ", urgent", measures.urgent());
            addSeries(chart, measures.policy() + ", other", measures.other());
        }
        try (OutputStream out = Files.newOutputStream(file)) {
            VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        }
    }

    private static void addSeries(XYChart chart, String name, Measures.Distribution distribution) {
        if (distribution.count() == 0) {
            return;
        }
        List<Integer> percentiles = IntStream.rangeClosed(0, 100).boxed().toList();
        List<Double> ratios = distribution.percentiles().stream()
                .map(ratio -> Math.max(MINIMUM_PLOTTED_RATIO, ratio))
                .toList();
        chart.addSeries(name, percentiles, ratios).setMarker(SeriesMarkers.NONE);
    }
}
