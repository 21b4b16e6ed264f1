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

/** Codec of the table and its edits in the JSON of the HTTP interface of entries. */
final class TableJsonCodec {
    private static final List<TableColumn> LIMITS =
            List.of(TableColumn.RUNNING, TableColumn.QUEUED, TableColumn.STARTS_PER_SECOND);

    private TableJsonCodec() {}

    /**
     * Reads a whole table.
     *
     * @throws IllegalArgumentException if a value is absent or out of range
     */
    static LimitTable read(JsonNode table) {
        List<LimitTableRow> rows = new ArrayList<>();
        for (RowName.Type type : RowName.Type.values()) {
            table.path(type.collection()).forEach(row -> rows.add(readRow(type, row)));
        }
        return LimitTable.of(table.path("version").asLong(), rows);
    }

    static LimitTableRow readRow(RowName.Type type, JsonNode row) {
        JsonNode limits = row.path("limits");
        RowName name = new RowName(type, row.path(type.label()).asText());
        Optional<LimitTableRow.KindValues> kind = type == RowName.Type.TEAM
                ? Optional.empty()
                : Optional.of(new LimitTableRow.KindValues(
                        row.path(TableColumn.WEIGHT.label()).asInt(),
                        Urgency.valueOf(
                                row.path(TableColumn.URGENCY.label()).asText().toUpperCase(Locale.ROOT)),
                        Duration.ofMillis(
                                row.path(TableColumn.TASK_TIMEOUT.label()).asLong())));
        return new LimitTableRow(
                name,
                kind,
                new Limits(
                        readLimit(limits, TableColumn.RUNNING),
                        readLimit(limits, TableColumn.QUEUED),
                        readLimit(limits, TableColumn.STARTS_PER_SECOND)),
                row.path("rowVersion").asLong());
    }

    static ObjectNode write(LimitTable table) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("version", table.version());
        for (RowName.Type type : RowName.Type.values()) {
            json.putArray(type.collection());
        }
        table.rows()
                .values()
                .forEach(row -> json.withArray("/" + row.name().type().collection())
                        .add(writeRow(row, row.hasZeroLimit()).put("rowVersion", row.version())));
        return json;
    }

    static ObjectNode write(String changeId, String author, boolean dryRun, List<TableEdit> edits) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("changeId", changeId)
                .put("author", author)
                .put("dryRun", dryRun);
        json.putArray("edits")
                .addAll(edits.stream().map(TableJsonCodec::writeEdit).toList());
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

    private static ObjectNode writeRow(LimitTableRow row, boolean explicitZero) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put(row.name().type().label(), row.name().name());
        row.kind()
                .ifPresent(kind -> json.put(TableColumn.WEIGHT.label(), kind.weight())
                        .put(TableColumn.URGENCY.label(), kind.urgency().name())
                        .put(
                                TableColumn.TASK_TIMEOUT.label(),
                                kind.taskTimeout().toMillis()));
        ObjectNode limits = json.putObject("limits");
        for (TableColumn column : LIMITS) {
            if (!column.text(row).isEmpty()) {
                limits.put(column.label(), Integer.parseInt(column.text(row)));
            }
        }
        if (explicitZero) {
            json.put("explicitZero", true);
        }
        return json;
    }

    private static int readLimit(JsonNode limits, TableColumn column) {
        return limits.path(column.label()).asInt(Limits.UNLIMITED);
    }
}
