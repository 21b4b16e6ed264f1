package io.caperturn.cli.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.http.Exchange;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client of the table that tries entries in turn.
 *
 * <p>A change goes on to the next entry also after a doubtful end, since its identity keeps it from taking effect
 * twice.
 */
public final class TableClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final String PATH = "/v1/table";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryClient client;
    private final List<String> entries;

    /**
     * Creates a client.
     *
     * @param client the way to entries
     * @param entries the entries' addresses in the order of trial
     */
    public TableClient(EntryClient client, List<String> entries) {
        this.client = client;
        this.entries = List.copyOf(entries);
    }

    /**
     * Reads the table.
     *
     * @return the table, or {@link TableReply.Refused}
     */
    public TableReply read() {
        return callEach(
                entry -> client.send(HttpMethod.GET, "http://" + entry + PATH, TIMEOUT),
                body -> new TableReply.Table(TableJson.read(body)));
    }

    /**
     * Reads the newest changes.
     *
     * @param limit the most changes
     * @return the changes, or {@link TableReply.Refused}
     */
    public TableReply history(int limit) {
        return callEach(
                entry -> client.send(HttpMethod.GET, "http://" + entry + PATH + "/history?limit=" + limit, TIMEOUT),
                TableClient::readHistory);
    }

    /**
     * Applies a change, or only checks it.
     *
     * @param changeId its identity
     * @param author who makes it
     * @param dryRun whether it is only checked
     * @param edits its edits
     * @return what the entry says
     */
    public TableReply change(String changeId, String author, boolean dryRun, List<TableEdit> edits) {
        String body = TableJson.write(changeId, author, dryRun, edits).toString();
        return callEach(
                entry -> client.send(HttpMethod.PUT, "http://" + entry + PATH, body, Map.of(), TIMEOUT),
                reply -> new TableReply.Accepted(reply.path("version").asLong()));
    }

    private TableReply callEach(Function<String, Exchange> call, Function<JsonNode, TableReply> success) {
        List<String> failures = new ArrayList<>();
        boolean doubtful = false;
        for (String entry : entries) {
            TableReply reply = switch (call.apply(entry)) {
                case Exchange.NotSent(String cause) -> new TableReply.Refused(cause);
                case Exchange.Lost(String cause) -> new TableReply.Unknown(cause);
                case Exchange.Replied replied -> read(replied, success);
            };
            switch (reply) {
                case TableReply.Refused(String detail) -> failures.add(entry + ": " + detail);
                case TableReply.Unknown(String detail) -> {
                    failures.add(entry + ": " + detail);
                    doubtful = true;
                }
                default -> {
                    return reply;
                }
            }
        }
        String detail = String.join("; ", failures);
        return doubtful ? new TableReply.Unknown(detail) : new TableReply.Refused(detail);
    }

    private static TableReply read(Exchange.Replied reply, Function<JsonNode, TableReply> success) {
        JsonNode body;
        try {
            body = MAPPER.readTree(reply.body());
        } catch (JsonProcessingException e) {
            return new TableReply.Unknown("status " + reply.status() + " without JSON");
        }
        try {
            return switch (reply.status()) {
                case 200 -> success.apply(body);
                case 412 -> readConflict(body);
                case 422 -> readMistakes(body);
                default -> readProblem(reply.status(), body);
            };
        } catch (IllegalArgumentException e) {
            return new TableReply.Unknown("status " + reply.status() + " with an unreadable body: " + e.getMessage());
        }
    }

    private static TableReply readProblem(int status, JsonNode body) {
        String detail = "status " + status + " " + body.path("reason").asText() + ": "
                + body.path("detail").asText();
        return body.path("execution").asText().equals("not-run")
                ? new TableReply.Refused(detail)
                : new TableReply.Unknown(detail);
    }

    private static TableReply readHistory(JsonNode body) {
        List<TableReply.Change> changes = new ArrayList<>();
        for (JsonNode change : body.path("changes")) {
            List<String> rows = new ArrayList<>();
            change.path("rows").forEach(row -> rows.add(row.asText()));
            changes.add(new TableReply.Change(
                    change.path("version").asLong(),
                    change.path("at").asText(),
                    change.path("author").asText(),
                    change.path("changeId").asText(),
                    rows));
        }
        return new TableReply.History(changes);
    }

    private static TableReply readConflict(JsonNode body) {
        List<TableReply.RowInForce> rows = new ArrayList<>();
        for (JsonNode row : body.path("rows")) {
            String collection = row.path("table").asText();
            RowName.Type type =
                    collection.equals(RowName.Type.KIND.collection()) ? RowName.Type.KIND : RowName.Type.TEAM;
            String values = row.path("row").isObject()
                    ? TableEdit.values(TableJson.readRow(type, row.path("row"))).trim()
                    : "no such row";
            rows.add(new TableReply.RowInForce(
                    collection + "/" + row.path("key").asText(),
                    row.path("rowVersion").asLong(),
                    values));
        }
        return new TableReply.Conflict(rows);
    }

    private static TableReply readMistakes(JsonNode body) {
        List<TableMistake> mistakes = new ArrayList<>();
        for (JsonNode mistake : body.path("mistakes")) {
            mistakes.add(new TableMistake(
                    mistake.path("row").asText(),
                    mistake.path("column").asText(),
                    mistake.path("message").asText()));
        }
        return mistakes.isEmpty() ? readProblem(422, body) : new TableReply.Wrong(mistakes);
    }
}
