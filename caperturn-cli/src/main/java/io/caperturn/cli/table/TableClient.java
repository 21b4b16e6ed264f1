package io.caperturn.cli.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.http.HttpResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client that reads and changes the operators' table of weights and limits, whose rows are kinds (named classes of
 * work) and teams.
 *
 * <p>It sends a request to one entry (process that accepts submissions) after another until one returns a result. A
 * change whose outcome at one entry is unknown is sent to the next: entries apply a change with the same identity only
 * once.
 */
public final class TableClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final String PATH = "/v1/table";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryHttpClient client;
    private final List<String> entryAddresses;

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     * @param entryAddresses the addresses of the entry processes, {@code host:port}, in the order in which they are
     *     tried
     */
    public TableClient(EntryHttpClient client, List<String> entryAddresses) {
        this.client = client;
        this.entryAddresses = List.copyOf(entryAddresses);
    }

    /**
     * Reads the table.
     *
     * @return the table; {@link TableResult.Refused} if every entry was unreachable or refused the request without
     *     running it, {@link TableResult.Unknown} if none returned the table and at least one may have run the request
     */
    public TableResult fetchTable() {
        return callEntriesInTurn(
                entry -> client.send(HttpMethod.GET, "http://" + entry + PATH, TIMEOUT),
                body -> new TableResult.FetchedTable(TableJsonCodec.readTable(body)));
    }

    /**
     * Reads the newest changes.
     *
     * @param limit the maximum number of changes to return
     * @return the changes, or the same results as {@link #fetchTable} if no entry returned them
     */
    public TableResult fetchHistory(int limit) {
        return callEntriesInTurn(
                entry -> client.send(HttpMethod.GET, "http://" + entry + PATH + "/history?limit=" + limit, TIMEOUT),
                TableClient::readHistory);
    }

    /**
     * Applies a change, or only checks it.
     *
     * @param changeId the identity of the change
     * @param author the author of the change
     * @param dryRun whether the change is only checked
     * @param edits the edits of the change
     * @return the result
     */
    public TableResult sendChange(String changeId, String author, boolean dryRun, List<TableEdit> edits) {
        String body =
                TableJsonCodec.writeChange(changeId, author, dryRun, edits).toString();
        return callEntriesInTurn(
                entry -> client.send(HttpMethod.PUT, "http://" + entry + PATH, body, Map.of(), TIMEOUT),
                response -> new TableResult.Accepted(response.path("version").asLong()));
    }

    private TableResult callEntriesInTurn(
            Function<String, HttpResult> call, Function<JsonNode, TableResult> bodyReader) {
        List<String> failures = new ArrayList<>();
        boolean hasUnknownOutcome = false;
        for (String entry : entryAddresses) {
            TableResult result = switch (call.apply(entry)) {
                case HttpResult.NotSent(String cause) -> new TableResult.Refused(cause);
                case HttpResult.Unconfirmed(String cause) -> new TableResult.Unknown(cause);
                case HttpResult.Response response -> parseResponse(response, bodyReader);
            };
            switch (result) {
                case TableResult.Refused(String detail) -> failures.add(entry + ": " + detail);
                case TableResult.Unknown(String detail) -> {
                    failures.add(entry + ": " + detail);
                    hasUnknownOutcome = true;
                }
                default -> {
                    return result;
                }
            }
        }
        String detail = String.join("; ", failures);
        return hasUnknownOutcome ? new TableResult.Unknown(detail) : new TableResult.Refused(detail);
    }

    private static TableResult parseResponse(HttpResult.Response response, Function<JsonNode, TableResult> bodyReader) {
        JsonNode body;
        try {
            body = MAPPER.readTree(response.body());
        } catch (JsonProcessingException e) {
            return new TableResult.Unknown("status " + response.status() + " without JSON");
        }
        try {
            return switch (response.status()) {
                case 200 -> bodyReader.apply(body);
                case 412 -> readConflict(body);
                case 422 -> readMistakes(body);
                default -> readProblem(response.status(), body);
            };
        } catch (IllegalArgumentException e) {
            return new TableResult.Unknown(
                    "status " + response.status() + " with an unreadable body: " + e.getMessage());
        }
    }

    private static TableResult readProblem(int status, JsonNode body) {
        String detail = "status " + status + " " + body.path("reason").asText() + ": "
                + body.path("detail").asText();
        return body.path("execution").asText().equals("not-run")
                ? new TableResult.Refused(detail)
                : new TableResult.Unknown(detail);
    }

    private static TableResult readHistory(JsonNode body) {
        List<TableResult.Change> changes = new ArrayList<>();
        for (JsonNode change : body.path("changes")) {
            List<String> rows = new ArrayList<>();
            change.path("rows").forEach(row -> rows.add(row.asText()));
            changes.add(new TableResult.Change(
                    change.path("version").asLong(),
                    change.path("at").asText(),
                    change.path("author").asText(),
                    change.path("changeId").asText(),
                    rows));
        }
        return new TableResult.FetchedHistory(changes);
    }

    private static TableResult readConflict(JsonNode body) {
        List<TableResult.StoredRow> rows = new ArrayList<>();
        for (JsonNode row : body.path("rows")) {
            // The field "table" names the part of the table that holds the row: kinds or teams.
            String tablePart = row.path("table").asText();
            RowIdentity.Type type = tablePart.equals(RowIdentity.Type.KIND.pluralLabel())
                    ? RowIdentity.Type.KIND
                    : RowIdentity.Type.TEAM;
            String values = row.path("row").isObject()
                    ? TableEdit.formatValues(TableJsonCodec.readRow(type, row.path("row")))
                            .trim()
                    : "no such row";
            rows.add(new TableResult.StoredRow(
                    tablePart + "/" + row.path("key").asText(),
                    row.path("rowVersion").asLong(),
                    values));
        }
        return new TableResult.Conflict(rows);
    }

    private static TableResult readMistakes(JsonNode body) {
        List<TableMistake> mistakes = new ArrayList<>();
        for (JsonNode mistake : body.path("mistakes")) {
            mistakes.add(new TableMistake(
                    mistake.path("row").asText(),
                    mistake.path("column").asText(),
                    mistake.path("message").asText()));
        }
        return mistakes.isEmpty() ? readProblem(422, body) : new TableResult.Invalid(mistakes);
    }
}
