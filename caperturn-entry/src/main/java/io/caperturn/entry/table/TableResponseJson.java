package io.caperturn.entry.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TeamRow;
import io.caperturn.store.StoreRow;
import io.caperturn.store.table.ChangeHistoryResult;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Encoder of the JSON bodies with which {@link TableEndpoint} responds. */
final class TableResponseJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableResponseJson() {}

    static ObjectNode of(Table table) {
        ObjectNode json = newObject().put("version", table.version());
        ArrayNode kinds = json.putArray("kinds");
        table.kinds().values().stream()
                .sorted(Comparator.comparing(KindRow::kind))
                .forEach(row -> kinds.add(of(row)));
        ArrayNode teams = json.putArray("teams");
        table.teams().values().stream()
                .sorted(Comparator.comparing(TeamRow::team))
                .forEach(row -> teams.add(of(row)));
        return json;
    }

    static ObjectNode of(KindRow row) {
        ObjectNode json = newObject()
                .put("kind", row.kind())
                .put("weight", row.weight())
                .put("urgency", row.urgency().name());
        json.set("limits", of(row.limits()));
        return json.put("taskTimeoutMilliseconds", row.taskTimeout().toMillis()).put("rowVersion", row.rowVersion());
    }

    static ObjectNode of(TeamRow row) {
        ObjectNode json = newObject().put("team", row.team());
        json.set("limits", of(row.limits()));
        return json.put("rowVersion", row.rowVersion());
    }

    /** Encodes a row as it is stored, without its change id. */
    static ObjectNode of(StoreRow row) {
        ObjectNode json = row.value().map(TableResponseJson::parseStoredRow).orElseGet(TableResponseJson::newObject)
                        instanceof ObjectNode stored
                ? stored
                : newObject();
        json.remove("changeId");
        return json.put("rowVersion", row.version());
    }

    /** Returns one row of the operators' table, or empty if the table has no such row. */
    static Optional<ObjectNode> find(Table table, RowTarget target) {
        return switch (target.type()) {
            case KIND -> table.kind(target.name()).map(TableResponseJson::of);
            case TEAM -> Optional.ofNullable(table.teams().get(target.name())).map(TableResponseJson::of);
        };
    }

    /** Encodes the stored rows with which an edit conflicts. */
    static ObjectNode ofConflict(List<StoreRow> storedRows) {
        ObjectNode json = newObject();
        ArrayNode rows = json.putArray("rows");
        for (StoreRow row : storedRows) {
            ObjectNode rowJson = rows.addObject()
                    .put("table", row.key().table())
                    .put("key", row.key().key())
                    .put("rowVersion", row.version());
            rowJson.set(
                    "row",
                    row.value().map(TableResponseJson::parseStoredRow).orElseGet(JsonNodeFactory.instance::nullNode));
        }
        return json;
    }

    static ObjectNode ofErrors(List<RowError> found) {
        ObjectNode json = newObject();
        ArrayNode errorNodes = json.putArray("mistakes");
        found.forEach(error -> errorNodes
                .addObject()
                .put("row", error.row())
                .put("column", error.column())
                .put("message", error.message()));
        return json;
    }

    static ObjectNode of(ChangeHistoryResult.Changes history) {
        ObjectNode json = newObject();
        ArrayNode changes = json.putArray("changes");
        for (ChangeHistoryResult.Change change : history.changes()) {
            ArrayNode rows = changes.addObject()
                    .put("version", change.tableVersion())
                    .put("changeId", change.changeId())
                    .put("author", change.author())
                    .put("at", change.at().toString())
                    .putArray("rows");
            change.rows().forEach(row -> rows.add(row.table() + "/" + row.key()));
        }
        return json;
    }

    static ObjectNode ofVersion(long version) {
        return newObject().put("version", version);
    }

    private static ObjectNode of(Limits limits) {
        ObjectNode json = newObject();
        putLimit(json, "running", limits.running());
        putLimit(json, "queued", limits.queued());
        putLimit(json, "startsPerSecond", limits.startsPerSecond());
        return json;
    }

    private static void putLimit(ObjectNode json, String name, int limit) {
        if (limit != Limits.UNLIMITED) {
            json.put(name, limit);
        }
    }

    private static JsonNode parseStoredRow(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return JsonNodeFactory.instance.nullNode();
        }
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
