package io.caperturn.cli.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Shapes of the table in the entry's HTTP protocol. */
final class TableJson {
    private static final List<Column> LIMITS = List.of(Column.RUNNING, Column.QUEUED, Column.STARTS_PER_SECOND);

    private TableJson() {}

    /**
     * Reads the whole table.
     *
     * @throws IllegalArgumentException if a value is absent or out of range
     */
    static TableRows read(JsonNode table) {
        List<TableRow> rows = new ArrayList<>();
        for (RowName.Type type : RowName.Type.values()) {
            table.path(type.collection()).forEach(row -> rows.add(readRow(type, row)));
        }
        return TableRows.of(table.path("version").asLong(), rows);
    }

    static TableRow readRow(RowName.Type type, JsonNode row) {
        JsonNode limits = row.path("limits");
        RowName name = new RowName(type, row.path(type.label()).asText());
        Optional<TableRow.KindValues> kind = type == RowName.Type.TEAM
                ? Optional.empty()
                : Optional.of(new TableRow.KindValues(
                        row.path(Column.WEIGHT.label()).asInt(),
                        Urgency.valueOf(
                                row.path(Column.URGENCY.label()).asText().toUpperCase(Locale.ROOT)),
                        Duration.ofMillis(row.path(Column.TASK_TIMEOUT.label()).asLong())));
        return new TableRow(
                name,
                kind,
                new Limits(
                        limit(limits, Column.RUNNING),
                        limit(limits, Column.QUEUED),
                        limit(limits, Column.STARTS_PER_SECOND)),
                row.path("rowVersion").asLong());
    }

    static ObjectNode write(TableRows table) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("version", table.version());
        for (RowName.Type type : RowName.Type.values()) {
            json.putArray(type.collection());
        }
        table.rows()
                .values()
                .forEach(row -> json.withArray("/" + row.name().type().collection())
                        .add(writeRow(row, row.stops()).put("rowVersion", row.version())));
        return json;
    }

    static ObjectNode write(String changeId, String author, boolean dryRun, List<TableEdit> edits) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("changeId", changeId)
                .put("author", author)
                .put("dryRun", dryRun);
        json.putArray("edits").addAll(edits.stream().map(TableJson::writeEdit).toList());
        return json;
    }

    private static ObjectNode writeEdit(TableEdit edit) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        RowName name = edit.name();
        if (edit.after().isPresent()) {
            json.set(name.type().label(), writeRow(edit.after().get(), edit.explicitZero()));
        } else {
            json.put(name.type() == RowName.Type.KIND ? "deleteKind" : "deleteTeam", name.name());
        }
        return json.put("expectedVersion", edit.expectedVersion());
    }

    private static ObjectNode writeRow(TableRow row, boolean explicitZero) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put(row.name().type().label(), row.name().name());
        row.kind()
                .ifPresent(kind -> json.put(Column.WEIGHT.label(), kind.weight())
                        .put(Column.URGENCY.label(), kind.urgency().name())
                        .put(Column.TASK_TIMEOUT.label(), kind.taskTimeout().toMillis()));
        ObjectNode limits = json.putObject("limits");
        for (Column column : LIMITS) {
            if (!column.text(row).isEmpty()) {
                limits.put(column.label(), Integer.parseInt(column.text(row)));
            }
        }
        if (explicitZero) {
            json.put("explicitZero", true);
        }
        return json;
    }

    private static int limit(JsonNode limits, Column column) {
        return limits.path(column.label()).asInt(Limits.UNLIMITED);
    }
}
