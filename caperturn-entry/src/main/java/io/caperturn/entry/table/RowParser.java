package io.caperturn.entry.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Parser of one row of the operators' table (the row of a kind of task or of a team) in JSON, which collects all errors
 * of the row. After an error it continues with a placeholder in place of the invalid value.
 */
final class RowParser {
    private static final int MAXIMUM_TASK_TIMEOUT_MILLISECONDS = 3_600_000;
    private static final int MAXIMUM_NAME_LENGTH = 200;
    /** Accepted columns; rowVersion and changeId are ignored, and explicitZero allows limits of 0. */
    private static final Set<String> KIND_COLUMNS = Set.of(
            "kind", "weight", "urgency", "limits", "taskTimeoutMilliseconds", "rowVersion", "explicitZero", "changeId");

    private static final Set<String> TEAM_COLUMNS = Set.of("team", "limits", "rowVersion", "explicitZero", "changeId");

    private static final List<String> LIMIT_COLUMNS = List.of("running", "queued", "startsPerSecond");

    private final String rowName;
    private final JsonNode row;
    private final List<RowError> errors;

    private RowParser(String rowName, JsonNode row, List<RowError> errors) {
        this.rowName = rowName;
        this.row = row;
        this.errors = errors;
    }

    /**
     * Parses the row of a kind; the row returned must not be used if errors were added.
     *
     * @param name the kind's name
     * @param row the row as JSON
     * @param errors receives the errors found
     * @return the row, with row version 0
     */
    static KindRow parseKind(String name, JsonNode row, List<RowError> errors) {
        RowParser parser = new RowParser("kinds/" + name, row, errors);
        parser.checkColumns(KIND_COLUMNS);
        return new KindRow(
                parser.parseName(name, "kind"),
                parser.parseNumber(row.path("weight"), "weight", 1, Integer.MAX_VALUE),
                parser.parseUrgency(),
                parser.parseLimits(),
                Duration.ofMillis(parser.parseNumber(
                        row.path("taskTimeoutMilliseconds"),
                        "taskTimeoutMilliseconds",
                        1,
                        MAXIMUM_TASK_TIMEOUT_MILLISECONDS)),
                /* rowVersion= */ 0);
    }

    /**
     * Parses the row of a team; the row returned must not be used if errors were added.
     *
     * @param name the team's name
     * @param row the row as JSON
     * @param errors receives the errors found
     * @return the row, with row version 0
     */
    static TeamRow parseTeam(String name, JsonNode row, List<RowError> errors) {
        RowParser parser = new RowParser("teams/" + name, row, errors);
        parser.checkColumns(TEAM_COLUMNS);
        return new TeamRow(parser.parseName(name, "team"), parser.parseLimits(), /* rowVersion= */ 0);
    }

    private void checkColumns(Set<String> accepted) {
        row.fieldNames().forEachRemaining(column -> {
            if (!accepted.contains(column)) {
                addError(column, "unknown column");
            }
        });
    }

    private String parseName(String name, String column) {
        if (name.isBlank() || name.length() > MAXIMUM_NAME_LENGTH) {
            addError(column, "the name must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
            return "unnamed";
        }
        if (row.has(column) && !row.get(column).asText().equals(name)) {
            addError(column, describeValue(row.get(column)) + "; must be equal to the name of the row, " + name);
        }
        return name;
    }

    private Urgency parseUrgency() {
        String text = row.path("urgency").asText().toUpperCase(Locale.ROOT);
        return Arrays.stream(Urgency.values())
                .filter(urgency -> urgency.name().equals(text))
                .findFirst()
                .orElseGet(() -> {
                    addError("urgency", describeValue(row.path("urgency")) + "; allowed: URGENT, NORMAL or BACKGROUND");
                    return Urgency.NORMAL;
                });
    }

    private Limits parseLimits() {
        JsonNode limits = row.path("limits");
        if (!limits.isMissingNode() && !limits.isObject()) {
            addError("limits", describeValue(limits) + "; allowed: an object with " + String.join(", ", LIMIT_COLUMNS));
            return Limits.NONE;
        }
        limits.fieldNames().forEachRemaining(column -> {
            if (!LIMIT_COLUMNS.contains(column)) {
                addError(column, "unknown limit");
            }
        });
        return new Limits(parseLimit("running"), parseLimit("queued"), parseLimit("startsPerSecond"));
    }

    private int parseLimit(String column) {
        JsonNode value = row.path("limits").path(column);
        if (value.isMissingNode() || value.isNull()) {
            return Limits.UNLIMITED;
        }
        int limit = parseNumber(value, column, 0, Limits.UNLIMITED - 1);
        boolean isZero = value.isIntegralNumber() && value.asLong() == 0;
        if (isZero && !row.path("explicitZero").asBoolean()) {
            addError(column, "0 blocks all tasks; set \"explicitZero\":true if this is intended, or omit the limit");
        }
        return limit;
    }

    private int parseNumber(JsonNode value, String column, int minimum, int maximum) {
        if (value.isIntegralNumber()
                && value.canConvertToInt()
                && value.asInt() >= minimum
                && value.asInt() <= maximum) {
            return value.asInt();
        }
        addError(column, describeValue(value) + "; allowed: an integer from " + minimum + " to " + maximum);
        return Math.max(1, minimum);
    }

    private void addError(String column, String message) {
        errors.add(new RowError(rowName, column, message));
    }

    private static String describeValue(JsonNode value) {
        return value.isMissingNode() ? "nothing" : value.toString();
    }
}
