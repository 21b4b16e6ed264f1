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

/**
 * Codec between JSON and the operators' table of weights and limits, with its edits, for the HTTP interface of entry
 * processes.
 */
final class TableJsonCodec {
    private static final List<TableColumn> LIMIT_COLUMNS =
            List.of(TableColumn.RUNNING, TableColumn.QUEUED, TableColumn.STARTS_PER_SECOND);

    private TableJsonCodec() {}

    /**
     * Reads a whole table.
     *
     * @throws IllegalArgumentException if a value is absent or out of range
     */
    static LimitTable readTable(JsonNode table) {
        List<LimitTableRow> rows = new ArrayList<>();
        for (RowIdentity.Type type : RowIdentity.Type.values()) {
            table.path(type.pluralLabel()).forEach(row -> rows.add(readRow(type, row)));
        }
        return LimitTable.of(table.path("version").asLong(), rows);
    }

    static LimitTableRow readRow(RowIdentity.Type type, JsonNode row) {
        JsonNode limits = row.path("limits");
        RowIdentity identity = new RowIdentity(type, row.path(type.label()).asText());
        Optional<LimitTableRow.KindValues> kindValues = type == RowIdentity.Type.TEAM
                ? Optional.empty()
                : Optional.of(new LimitTableRow.KindValues(
                        row.path(TableColumn.WEIGHT.label()).asInt(),
                        Urgency.valueOf(
                                row.path(TableColumn.URGENCY.label()).asText().toUpperCase(Locale.ROOT)),
                        Duration.ofMillis(
                                row.path(TableColumn.TASK_TIMEOUT.label()).asLong())));
        return new LimitTableRow(
                identity,
                kindValues,
                new Limits(
                        readLimit(limits, TableColumn.RUNNING),
                        readLimit(limits, TableColumn.QUEUED),
                        readLimit(limits, TableColumn.STARTS_PER_SECOND)),
                row.path("rowVersion").asLong());
    }

    static ObjectNode writeTable(LimitTable table) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("version", table.version());
        for (RowIdentity.Type type : RowIdentity.Type.values()) {
            json.putArray(type.pluralLabel());
        }
        table.rows()
                .values()
                .forEach(row -> json.withArray("/" + row.identity().type().pluralLabel())
                        .add(writeRow(row, /* explicitZero= */ row.hasZeroLimit())
                                .put("rowVersion", row.version())));
        return json;
    }

    static ObjectNode writeChange(String changeId, String author, boolean dryRun, List<TableEdit> edits) {
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
        RowIdentity identity = edit.rowIdentity();
        if (edit.after().isPresent()) {
            json.set(identity.type().label(), writeRow(edit.after().get(), edit.explicitZero()));
        } else {
            json.put(identity.type() == RowIdentity.Type.KIND ? "deleteKind" : "deleteTeam", identity.name());
        }
        return json.put("expectedVersion", edit.expectedVersion());
    }

    private static ObjectNode writeRow(LimitTableRow row, boolean explicitZero) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put(row.identity().type().label(), row.identity().name());
        row.kindValues()
                .ifPresent(values -> json.put(TableColumn.WEIGHT.label(), values.weight())
                        .put(TableColumn.URGENCY.label(), values.urgency().name())
                        .put(
                                TableColumn.TASK_TIMEOUT.label(),
                                values.taskTimeout().toMillis()));
        ObjectNode limits = json.putObject("limits");
        for (TableColumn column : LIMIT_COLUMNS) {
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
