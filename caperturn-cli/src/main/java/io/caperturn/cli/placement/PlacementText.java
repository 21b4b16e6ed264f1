package io.caperturn.cli.placement;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Explanation of a placement as lines of text. */
final class PlacementText {
    private PlacementText() {}

    /** Returns the lines for the answer of an entry (process that accepts jobs). */
    static List<String> lines(JsonNode answer) {
        List<String> lines = new ArrayList<>();
        lines.add("queue " + answer.path("queue").asText() + ", service "
                + answer.path("service").asText() + ", "
                + answer.path("waitingTasks").asLong() + " tasks wait at the entry");
        lines.add(admission(answer));
        if (answer.path("accepted").asBoolean()) {
            lines.addAll(placements(answer));
        }
        lines.add("candidates for the first task of each ready step, the best first:");
        for (JsonNode candidate : answer.path("candidates")) {
            lines.add("  step " + candidate.path("step").asInt() + "  "
                    + candidate.path("node").asText() + "  " + free(candidate.path("free")) + "  "
                    + candidacy(candidate));
        }
        return lines;
    }

    private static String admission(JsonNode answer) {
        String figures = answer.has("predictedMilliseconds")
                ? ", predicted to complete after "
                        + answer.path("predictedMilliseconds").asLong() + " ms where "
                        + answer.path("allowedMilliseconds").asLong() + " ms are allowed"
                : "";
        JsonNode refusal = answer.path("refusal");
        return refusal.isMissingNode()
                ? "accepted" + figures
                : "refused: " + refusal.path("reason").asText() + " (status "
                        + refusal.path("status").asInt() + ", Retry-After "
                        + refusal.path("retryAfterSeconds").asLong() + " s, exactly "
                        + refusal.path("retryAfterMilliseconds").asLong() + " ms)" + figures;
    }

    /** Returns one line for all tasks of a step with the same place, or the same reason to wait. */
    private static List<String> placements(JsonNode answer) {
        Map<String, Integer> countByOutcome = new LinkedHashMap<>();
        for (JsonNode placement : answer.path("placements")) {
            String outcome = placement.has("node")
                    ? "to " + placement.path("node").asText() + ", "
                            + placement.path("predictedEndMilliseconds").asLong() + " ms until their end"
                    : "wait: " + placement.path("waits").asText();
            countByOutcome.merge("step " + placement.path("step").asInt() + ": %d tasks " + outcome, 1, Integer::sum);
        }
        List<String> lines = new ArrayList<>();
        countByOutcome.forEach((outcome, count) -> lines.add("  " + outcome.replace("%d", count.toString())));
        int unexplained =
                answer.path("readyTasks").asInt() - answer.path("placements").size();
        if (unexplained > 0) {
            lines.add("  " + unexplained + " more tasks are not explained");
        }
        return lines;
    }

    private static String free(JsonNode free) {
        return String.format(
                Locale.ROOT,
                "free %.1f cores, %d MB, %d accelerators",
                free.path("processorMillis").asLong() / 1_000.0,
                free.path("memoryMegabytes").asLong(),
                free.path("accelerators").asLong());
    }

    private static String candidacy(JsonNode candidate) {
        return switch (candidate.path("candidacy").asText()) {
            case "possible" ->
                candidate.path("predictedEndMilliseconds").asLong() + " ms until its end, cost "
                        + decimal(candidate.path("costMilliseconds")) + " ms (" + costs(candidate.path("costs")) + ")";
            case "full" ->
                "full; would run " + candidate.path("expectedRunMilliseconds").asLong() + " ms";
            case "excluded" -> "excluded: " + candidate.path("reason").asText();
            default -> candidate.path("candidacy").asText();
        };
    }

    private static String costs(JsonNode costs) {
        List<String> parts = new ArrayList<>();
        costs.properties().forEach(cost -> parts.add(cost.getKey() + " " + decimal(cost.getValue())));
        return String.join(", ", parts);
    }

    private static String decimal(JsonNode value) {
        return String.format(Locale.ROOT, "%.1f", value.asDouble());
    }
}
