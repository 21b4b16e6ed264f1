package io.caperturn.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.SubmissionLifecycleEvent;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.observe.SubmissionHistory;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP endpoint of {@code /v1/submissions/{team}/{key}}: cancels a submission, or returns its recent events. A late
 * report is one on an attempt that is no longer outstanding.
 */
final class SubmissionEndpoint implements HttpEndpoint {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final EntryEventLoop eventLoop;
    private final SubmissionHistory history;

    SubmissionEndpoint(EntryEventLoop eventLoop, SubmissionHistory history) {
        this.eventLoop = eventLoop;
        this.history = history;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) {
        Optional<SubmissionId> submission = parseSubmissionId(request);
        if (submission.isEmpty()) {
            ResponseWriter.writeProblem(
                    response,
                    callback,
                    ProblemDetails.badRequest(NOT_FOUND, "the path must be /v1/submissions/{team}/{key}"));
            return;
        }
        switch (request.getMethod()) {
            case "DELETE" -> {
                eventLoop.put(new EntryEvent.CancelRequested(submission.get()));
                ResponseWriter.writeJson(response, callback, ACCEPTED, JsonNodeFactory.instance.objectNode());
            }
            case "GET" -> writeHistory(submission.get(), response, callback);
            default -> {
                response.getHeaders().put("Allow", "GET, DELETE");
                ResponseWriter.writeProblem(
                        response,
                        callback,
                        ProblemDetails.badRequest(METHOD_NOT_ALLOWED, "GET and DELETE are allowed here"));
            }
        }
    }

    private void writeHistory(SubmissionId submission, Response response, Callback callback) {
        List<SubmissionHistory.HistoryItem> items = history.find(submission);
        if (items.isEmpty()) {
            ResponseWriter.writeProblem(
                    response,
                    callback,
                    ProblemDetails.badRequest(NOT_FOUND, "no recent events of " + submission + " at this entry"));
            return;
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("submission", submission.toString());
        ArrayNode events = json.putArray("events");
        items.forEach(item -> addEvent(events.addObject(), item));
        ResponseWriter.writeJson(response, callback, OK, json);
    }

    private static void addEvent(ObjectNode json, SubmissionHistory.HistoryItem item) {
        json.put("at", item.at().toString());
        switch (item.event()) {
            case SubmissionLifecycleEvent.Admitted admitted ->
                json.put("event", "admitted")
                        .put("kind", admitted.kind())
                        .put("urgency", admitted.urgency().name())
                        .put("tasks", admitted.tasks());
            case SubmissionLifecycleEvent.Dispatched dispatched ->
                addAttempt(json.put("event", "dispatched"), dispatched.attempt())
                        .put("sidecar", dispatched.sidecar().name())
                        .put("waitedMilliseconds", dispatched.waited().toMillis());
            case SubmissionLifecycleEvent.AttemptEnded ended ->
                addAttempt(json.put("event", "attempt-ended"), ended.attempt())
                        .put("sidecar", ended.sidecar().name())
                        .put("outcome", ended.outcome())
                        .put("detail", ended.detail())
                        .put("elapsedMilliseconds", ended.elapsed().toMillis());
            case SubmissionLifecycleEvent.Answered answered ->
                json.put("event", "answered")
                        .put(
                                "result",
                                answered.failure().map(FailureReason::name).orElse("COMPLETE"))
                        .put("execution", answered.execution().label())
                        .put("elapsedMilliseconds", answered.elapsed().toMillis());
            case SubmissionLifecycleEvent.LateReportDropped late ->
                addAttempt(json.put("event", "late-report-dropped"), late.attempt())
                        .put("sidecar", late.sidecar().name());
        }
    }

    /** Adds an attempt to run a task, named by a fencing token and the number under that token. */
    private static ObjectNode addAttempt(ObjectNode json, AttemptId attempt) {
        return json.put("task", attempt.key().task()).put("attempt", attempt.fence() + "." + attempt.attempt());
    }

    private static Optional<SubmissionId> parseSubmissionId(Request request) {
        String[] parts = request.getHttpURI().getPath().split("/");
        // The parts are an empty text, v1, submissions, the team and the key.
        if (parts.length != 5 || parts[3].isBlank() || parts[4].isBlank()) {
            return Optional.empty();
        }
        return Optional.of(new SubmissionId(decode(parts[3]), decode(parts[4])));
    }

    private static String decode(String part) {
        // A plus sign in a path stands for itself, but the decoder would turn it into a space.
        return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
