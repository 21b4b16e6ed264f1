package io.caperturn.entry.http;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskResult;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writer of the HTTP responses with answers to submissions. Each body is assembled before its first byte is sent. */
final class AnswerWriter {
    private static final int OK = 200;

    private AnswerWriter() {}

    static void writeJobAnswer(Response response, Callback callback, SubmissionId submission, Answer answer) {
        switch (answer) {
            case Answer.Failed failed ->
                ResponseWriter.writeProblem(response, callback, ProblemDetails.of(submission, failed));
            case Answer.Complete complete -> {
                StringBuilder json = startJson(submission).append(",\"results\":[");
                String separator = "";
                for (TaskResult result : complete.results()) {
                    json.append(separator).append("{\"task\":");
                    appendQuoted(json, result.task());
                    json.append(",\"result\":").append(result.result()).append('}');
                    separator = ",";
                }
                write(response, callback, json.append("]}"));
            }
        }
    }

    static void writeRequestAnswer(Response response, Callback callback, SubmissionId submission, Answer answer) {
        switch (answer) {
            case Answer.Failed failed ->
                ResponseWriter.writeProblem(response, callback, ProblemDetails.of(submission, failed));
            case Answer.Complete complete ->
                write(
                        response,
                        callback,
                        startJson(submission)
                                .append(",\"result\":")
                                .append(complete.results().getFirst().result())
                                .append('}'));
        }
    }

    private static StringBuilder startJson(SubmissionId submission) {
        StringBuilder json = new StringBuilder("{\"submission\":");
        appendQuoted(json, submission.toString());
        return json;
    }

    private static void appendQuoted(StringBuilder json, String text) {
        json.append('"');
        json.append(
                com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance().quoteAsString(text));
        json.append('"');
    }

    private static void write(Response response, Callback callback, StringBuilder json) {
        ResponseWriter.write(
                response, callback, OK, "application/json", json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
