package io.caperturn.replay.report;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Report on the replays of one trace. Its component names are the JSON field names.
 *
 * @param trace the name of the trace
 * @param deployment the name of the deployment
 * @param seed the seed of the random number generators
 * @param policies the measures of each policy
 */
public record ReplayReport(String trace, String deployment, long seed, List<Measures> policies) {
    private static final String HEADING_FORMAT = "%-18s | %29s | %29s | %6s | %8s | %8s | %6s | %8s | %8s%n";
    private static final String ROW_FORMAT =
            "%-18s | %8.2f %8.2f %11.2f | %8.2f %8.2f %11.2f | %6d | %8.3f | %8.3f | %6.3f | %8.3f | %8d%n";

    /** Copies the measures. */
    public ReplayReport {
        policies = List.copyOf(policies);
    }

    /**
     * Prints the table of policies and measures.
     *
     * @param out the stream to print to
     */
    public void print(PrintStream out) {
        out.printf(Locale.ROOT, "trace=%s deployment=%s seed=%d%n", trace, deployment, seed);
        out.printf(
                Locale.ROOT,
                HEADING_FORMAT,
                "response/ideal:",
                "urgent mean/median/99th",
                "other mean/median/99th",
                "failed",
                "messages",
                "frames",
                "lost",
                "unfair",
                "breaches");
        for (Measures measures : policies) {
            out.printf(
                    Locale.ROOT,
                    ROW_FORMAT,
                    measures.policy(),
                    measures.urgent().mean(),
                    measures.urgent().median(),
                    measures.urgent().percentile99(),
                    measures.other().mean(),
                    measures.other().median(),
                    measures.other().percentile99(),
                    measures.failures().total(),
                    measures.traffic().messagesPerTask(),
                    measures.traffic().framesPerTask(),
                    measures.lostSlotShare(),
                    measures.fairnessDeviation(),
                    measures.limitBreaches());
        }
    }

    /**
     * Writes the report as JSON.
     *
     * @param file the file to write
     * @throws IOException if the file can't be written
     */
    public void writeJson(Path file) throws IOException {
        Files.writeString(
                file,
                JsonMapper.builder()
                        .enable(SerializationFeature.INDENT_OUTPUT)
                        .build()
                        .writeValueAsString(this));
    }
}
