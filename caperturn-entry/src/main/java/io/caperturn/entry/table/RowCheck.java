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

/** Check of one row in JSON, which notes every mistake of the row at once. */
final class RowCheck {
    private static final int MAXIMUM_TASK_TIMEOUT_MILLISECONDS = 3_600_000;
    private static final int MAXIMUM_NAME_LENGTH = 200;
    private static final Set<String> KIND_COLUMNS = Set.of(
            "kind", "weight", "urgency", "limits", "taskTimeoutMilliseconds", "rowVersion", "explicitZero", "changeId");
    private static final Set<String> TEAM_COLUMNS = Set.of("team", "limits", "rowVersion", "explicitZero", "changeId");
    private static final List<String> LIMITS = List.of("running", "queued", "startsPerSecond");

    private final String place;
    private final JsonNode row;
    private final List<RowMistake> mistakes;

    private RowCheck(String place, JsonNode row, List<RowMistake> mistakes) {
        this.place = place;
        this.row = row;
        this.mistakes = mistakes;
    }

    /**
     * Reads the row of a kind; where it has mistakes, its values are stand-ins of no use.
     *
     * @param name the kind's name
     * @param row the row
     * @param mistakes where mistakes are added
     * @return the row
     */
    static KindRow kind(String name, JsonNode row, List<RowMistake> mistakes) {
        RowCheck check = new RowCheck("kinds/" + name, row, mistakes);
        check.columns(KIND_COLUMNS);
        return new KindRow(
                check.name(name, "kind"),
                check.number(row.path("weight"), "weight", 1, Integer.MAX_VALUE),
                check.urgency(),
                check.limits(),
                Duration.ofMillis(check.number(
                        row.path("taskTimeoutMilliseconds"),
                        "taskTimeoutMilliseconds",
                        1,
                        MAXIMUM_TASK_TIMEOUT_MILLISECONDS)),
                0);
    }

    /**
     * Reads the row of a team; where it has mistakes, its values are stand-ins of no use.
     *
     * @param name the team's name
     * @param row the row
     * @param mistakes where mistakes are added
     * @return the row
     */
    static TeamRow team(String name, JsonNode row, List<RowMistake> mistakes) {
        RowCheck check = new RowCheck("teams/" + name, row, mistakes);
        check.columns(TEAM_COLUMNS);
        return new TeamRow(check.name(name, "team"), check.limits(), 0);
    }

    private void columns(Set<String> known) {
        row.fieldNames().forEachRemaining(column -> {
            if (!known.contains(column)) {
                refuse(column, "unknown column");
            }
        });
    }

    private String name(String name, String column) {
        if (name.isBlank() || name.length() > MAXIMUM_NAME_LENGTH) {
            refuse(column, "a name of 1 to " + MAXIMUM_NAME_LENGTH + " characters is needed");
            return "unnamed";
        }
        if (row.has(column) && !row.get(column).asText().equals(name)) {
            refuse(column, given(row.get(column)) + "; the row is named " + name);
        }
        return name;
    }

    private Urgency urgency() {
        String text = row.path("urgency").asText().toUpperCase(Locale.ROOT);
        return Arrays.stream(Urgency.values())
                .filter(urgency -> urgency.name().equals(text))
                .findFirst()
                .orElseGet(() -> {
                    refuse("urgency", given(row.path("urgency")) + "; allowed: URGENT, NORMAL or BACKGROUND");
                    return Urgency.NORMAL;
                });
    }

    private Limits limits() {
        JsonNode limits = row.path("limits");
        if (!limits.isMissingNode() && !limits.isObject()) {
            refuse("limits", given(limits) + "; allowed: an object with " + String.join(", ", LIMITS));
            return Limits.NONE;
        }
        limits.fieldNames().forEachRemaining(column -> {
            if (!LIMITS.contains(column)) {
                refuse(column, "unknown limit");
            }
        });
        return new Limits(limit("running"), limit("queued"), limit("startsPerSecond"));
    }

    private int limit(String column) {
        JsonNode value = row.path("limits").path(column);
        if (value.isMissingNode() || value.isNull()) {
            return Limits.UNLIMITED;
        }
        int limit = number(value, column, 0, Limits.UNLIMITED - 1);
        boolean givenZero = value.isIntegralNumber() && value.asLong() == 0;
        if (givenZero && !row.path("explicitZero").asBoolean()) {
            refuse(column, "0 stops all of it; say \"explicitZero\":true if that is meant, or leave the limit out");
        }
        return limit;
    }

    private int number(JsonNode value, String column, int minimum, int maximum) {
        if (value.isIntegralNumber()
                && value.canConvertToInt()
                && value.asInt() >= minimum
                && value.asInt() <= maximum) {
            return value.asInt();
        }
        refuse(column, given(value) + "; allowed: a whole number from " + minimum + " to " + maximum);
        return Math.max(1, minimum);
    }

    private void refuse(String column, String message) {
        mistakes.add(new RowMistake(place, column, message));
    }

    private static String given(JsonNode value) {
        return value.isMissingNode() ? "nothing" : value.toString();
    }
}
