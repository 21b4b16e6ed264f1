package io.caperturn.entry.table;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.Table;
import io.caperturn.entry.http.BodyReader;
import io.caperturn.entry.http.HttpEndpoint;
import io.caperturn.entry.http.ProblemDetails;
import io.caperturn.entry.http.ResponseWriter;
import io.caperturn.store.StoreRow;
import io.caperturn.store.table.ChangeHistoryResult;
import io.caperturn.store.table.EditResult;
import io.caperturn.store.table.TableEditor;
import io.caperturn.store.table.TableReadResult;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * HTTP endpoint of {@code /v1/table}: the operators' table of weights and limits, its history of changes and its rows.
 *
 * <p>Reads and edits go to the store, not to the copy of the table that this entry process holds. An edit names the
 * expected version of each row that it replaces, and a change id; a retry with the same change id has no further
 * effect.
 */
public final class TableEndpoint implements HttpEndpoint {
    /** Path of the table; the history and the rows are below it. */
    public static final String PATH = "/v1/table";

    private static final String HISTORY_PATH = PATH + "/history";
    private static final String CHANGE_ID = "Caperturn-Change-Id";
    private static final String AUTHOR = "Caperturn-Author";
    private static final String DEFAULT_AUTHOR = "unknown";
    private static final int DEFAULT_HISTORY_CHANGES = 50;
    private static final int MAXIMUM_HISTORY_CHANGES = 500;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TableEditor editor;
    private final Runnable onEditAccepted;
    private final int maximumBodyBytes;
    private final ChangeParser parser = new ChangeParser();

    /**
     * Creates the endpoint.
     *
     * @param editor reads and edits the table in the store
     * @param onEditAccepted called after each accepted edit
     * @param maximumBodyBytes the maximum size of a request body, in bytes
     */
    public TableEndpoint(TableEditor editor, Runnable onEditAccepted, int maximumBodyBytes) {
        this.editor = Objects.requireNonNull(editor, "editor");
        this.onEditAccepted = Objects.requireNonNull(onEditAccepted, "onEditAccepted");
        this.maximumBodyBytes = maximumBodyBytes;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) throws IOException {
        Exchange exchange = new Exchange(request, response, callback);
        String path = request.getHttpURI().getPath();
        if (path.equals(PATH)) {
            handleTable(exchange);
        } else if (path.equals(HISTORY_PATH)) {
            handleHistory(exchange);
        } else {
            Optional<RowTarget> target = parseTarget(path);
            if (target.isEmpty()) {
                exchange.writeBadRequest(
                        HttpStatus.NOT_FOUND_404, "rows are at " + PATH + "/kinds/{kind} and /teams/{team}");
                return;
            }
            handleRow(exchange, target.get());
        }
    }

    private void handleTable(Exchange exchange) throws IOException {
        switch (exchange.method()) {
            case "GET" -> {
                switch (editor.read()) {
                    case TableReadResult.Read(Table table) ->
                        exchange.writeJson(HttpStatus.OK_200, TableResponseJson.of(table));
                    case TableReadResult.Unavailable(String detail) -> exchange.writeStoreUnavailable(detail);
                }
            }
            case "PUT" -> {
                Optional<byte[]> body = exchange.readBody(maximumBodyBytes);
                if (body.isPresent()) {
                    handleChange(exchange, parser.parseChange(body.get()), /* showRow= */ false);
                }
            }
            default -> exchange.writeMethodNotAllowed("GET, PUT");
        }
    }

    private void handleHistory(Exchange exchange) {
        if (!exchange.method().equals("GET")) {
            exchange.writeMethodNotAllowed("GET");
            return;
        }
        OptionalLong limit = exchange.parseHistoryLimit();
        if (limit.isEmpty()) {
            exchange.writeBadRequest(
                    HttpStatus.BAD_REQUEST_400, "limit: must be an integer from 1 to " + MAXIMUM_HISTORY_CHANGES);
            return;
        }
        switch (editor.history((int) limit.getAsLong())) {
            case ChangeHistoryResult.Changes changes ->
                exchange.writeJson(HttpStatus.OK_200, TableResponseJson.of(changes));
            case ChangeHistoryResult.Unavailable(String detail) -> exchange.writeStoreUnavailable(detail);
        }
    }

    private void handleRow(Exchange exchange, RowTarget target) throws IOException {
        switch (exchange.method()) {
            case "GET" -> writeStoredRow(exchange, target);
            case "PUT", "DELETE" -> editRow(exchange, target);
            default -> exchange.writeMethodNotAllowed("GET, PUT, DELETE");
        }
    }

    private void editRow(Exchange exchange, RowTarget target) throws IOException {
        String ifMatch = exchange.header(HttpHeader.IF_MATCH.asString()).orElse("");
        if (ifMatch.isBlank()) {
            exchange.writeBadRequest(
                    HttpStatus.PRECONDITION_REQUIRED_428,
                    "If-Match is required: the row's ETag, or \"0\" for a new row");
            return;
        }
        OptionalLong version = parseEntityTag(ifMatch);
        Optional<String> changeId = exchange.header(CHANGE_ID);
        if (version.isEmpty() || changeId.isEmpty()) {
            exchange.writeBadRequest(
                    HttpStatus.BAD_REQUEST_400,
                    "If-Match must hold one ETag, and " + CHANGE_ID + " the id of the change");
            return;
        }
        RowTarget expected = target.withExpectedVersion(version.getAsLong());
        String author = exchange.header(AUTHOR).orElse(DEFAULT_AUTHOR);
        if (exchange.method().equals("DELETE")) {
            handleChange(exchange, parser.createDeletionChange(expected, changeId.get(), author), /* showRow= */ false);
            return;
        }
        Optional<byte[]> body = exchange.readBody(maximumBodyBytes);
        if (body.isPresent()) {
            ChangeParseResult change = parser.parseRow(expected, changeId.get(), author, body.get());
            handleChange(exchange, change, /* showRow= */ true);
        }
    }

    /** Applies or checks a change; the response holds the new row if {@code showRow} is set, else the new version. */
    private void handleChange(Exchange exchange, ChangeParseResult parseResult, boolean showRow) {
        switch (parseResult) {
            case ChangeParseResult.Malformed(String detail) ->
                exchange.writeBadRequest(HttpStatus.BAD_REQUEST_400, detail);
            case ChangeParseResult.InvalidRows(List<RowError> errors) ->
                exchange.writeJson(HttpStatus.UNPROCESSABLE_ENTITY_422, TableResponseJson.ofErrors(errors));
            case ChangeParseResult.Valid(var change, boolean dryRun) -> {
                EditResult result = dryRun ? editor.check(change) : editor.apply(change);
                if (result instanceof EditResult.Accepted && !dryRun) {
                    onEditAccepted.run();
                }
                writeResult(exchange, result, showRow);
            }
        }
    }

    private static void writeResult(Exchange exchange, EditResult result, boolean showRow) {
        switch (result) {
            case EditResult.Accepted(long version, List<StoreRow> rows) -> {
                if (showRow && !rows.isEmpty()) {
                    exchange.writeRow(TableResponseJson.of(rows.getFirst()));
                } else {
                    exchange.writeJson(HttpStatus.OK_200, TableResponseJson.ofVersion(version));
                }
            }
            case EditResult.Conflict(List<StoreRow> rows) ->
                exchange.writeJson(HttpStatus.PRECONDITION_FAILED_412, TableResponseJson.ofConflict(rows));
            case EditResult.Invalid(String detail) ->
                exchange.writeJson(
                        HttpStatus.UNPROCESSABLE_ENTITY_422,
                        TableResponseJson.ofErrors(List.of(new RowError(/* row= */ "", /* column= */ "", detail))));
            case EditResult.Unavailable(String detail) -> exchange.writeStoreUnavailable(detail);
            case EditResult.Unknown(String detail) ->
                exchange.writeStoreProblem(HttpStatus.GATEWAY_TIMEOUT_504, detail, Execution.MAY_HAVE_RUN);
        }
    }

    private void writeStoredRow(Exchange exchange, RowTarget target) {
        switch (editor.read()) {
            case TableReadResult.Read(Table table) ->
                TableResponseJson.find(table, target)
                        .ifPresentOrElse(
                                exchange::writeRow,
                                () -> exchange.writeBadRequest(
                                        HttpStatus.NOT_FOUND_404,
                                        "no such row: " + target.type().collection() + "/" + target.name()));
            case TableReadResult.Unavailable(String detail) -> exchange.writeStoreUnavailable(detail);
        }
    }

    private static OptionalLong parseEntityTag(String entityTag) {
        String text = entityTag.strip();
        return text.matches("\"[0-9]{1,18}\"")
                ? OptionalLong.of(Long.parseLong(text.substring(1, text.length() - 1)))
                : OptionalLong.empty();
    }

    private static Optional<RowTarget> parseTarget(String path) {
        String[] parts = path.substring(PATH.length() + 1).split("/", -1);
        if (parts.length != 2 || parts[1].isEmpty()) {
            return Optional.empty();
        }
        // A plus sign in a path stands for itself, but the decoder would turn it into a space.
        String name = URLDecoder.decode(parts[1].replace("+", "%2B"), StandardCharsets.UTF_8);
        return name.isBlank()
                ? Optional.empty()
                : RowTarget.Type.findByCollection(parts[0])
                        .map(type -> new RowTarget(type, name, /* expectedVersion= */ 0));
    }

    /**
     * HTTP request and its response.
     *
     * @param request the request
     * @param response the response
     * @param callback completed when the response is written
     */
    private record Exchange(Request request, Response response, Callback callback) {
        String method() {
            return request.getMethod();
        }

        Optional<String> header(String name) {
            return Optional.ofNullable(request.getHeaders().getField(name))
                    .map(HttpField::getValue)
                    .filter(value -> !value.isBlank());
        }

        OptionalLong parseHistoryLimit() {
            Fields query = Request.extractQueryParameters(request);
            String text = query.getValue("limit");
            if (text == null) {
                return OptionalLong.of(DEFAULT_HISTORY_CHANGES);
            }
            if (!text.matches("[0-9]{1,9}")) {
                return OptionalLong.empty();
            }
            long limit = Long.parseLong(text);
            return limit >= 1 && limit <= MAXIMUM_HISTORY_CHANGES ? OptionalLong.of(limit) : OptionalLong.empty();
        }

        /** Reads the request body; responds with an error and returns empty if it is too large. */
        Optional<byte[]> readBody(int maximumBytes) throws IOException {
            Optional<byte[]> body = BodyReader.read(request, maximumBytes);
            if (body.isEmpty()) {
                writeBadRequest(HttpStatus.PAYLOAD_TOO_LARGE_413, "the body exceeds " + maximumBytes + " bytes");
            }
            return body;
        }

        void writeJson(int status, ObjectNode json) {
            ResponseWriter.writeJson(response, callback, status, json);
        }

        void writeRow(ObjectNode row) {
            response.getHeaders()
                    .put(HttpHeader.ETAG, "\"" + row.path("rowVersion").asLong() + "\"");
            writeJson(HttpStatus.OK_200, row);
        }

        void writeBadRequest(int status, String detail) {
            ResponseWriter.writeProblem(response, callback, ProblemDetails.badRequest(status, detail));
        }

        void writeMethodNotAllowed(String allowed) {
            response.getHeaders().put(HttpHeader.ALLOW, allowed);
            writeBadRequest(HttpStatus.METHOD_NOT_ALLOWED_405, allowed + ": no other method is allowed here");
        }

        void writeStoreUnavailable(String detail) {
            writeStoreProblem(HttpStatus.SERVICE_UNAVAILABLE_503, detail, Execution.NOT_RUN);
        }

        void writeStoreProblem(int status, String detail, Execution execution) {
            ResponseWriter.writeProblem(
                    response,
                    callback,
                    new ProblemDetails(
                            status,
                            "store-unavailable",
                            detail,
                            execution,
                            Optional.empty(),
                            Optional.of(RETRY_AFTER)));
        }
    }
}
