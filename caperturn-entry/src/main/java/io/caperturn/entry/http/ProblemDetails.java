package io.caperturn.entry.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.SubmissionId;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * Problem details of RFC 9457, extended by whether the work ran and when to retry.
 *
 * @param status the HTTP status
 * @param reason the machine-readable cause, in lower case with hyphens
 * @param detail one line that describes the problem
 * @param execution what is known about whether the work ran
 * @param submission the submission, empty if it is not known
 * @param retryAfter the time after which to retry, empty if a retry does not help
 */
public record ProblemDetails(
        int status,
        String reason,
        String detail,
        Execution execution,
        Optional<SubmissionId> submission,
        Optional<Duration> retryAfter) {
    /** Rejects null components. */
    public ProblemDetails {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(execution, "execution");
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Creates the problem of an invalid request, of which nothing ran.
     *
     * @param status the HTTP status
     * @param detail one line that describes the problem
     * @return the problem
     */
    public static ProblemDetails badRequest(int status, String detail) {
        return new ProblemDetails(status, "bad-request", detail, Execution.NOT_RUN, Optional.empty(), Optional.empty());
    }

    /**
     * Creates the problem of a failed answer.
     *
     * @param submission the submission
     * @param answer its answer
     * @return the problem
     */
    public static ProblemDetails of(SubmissionId submission, Answer.Failed answer) {
        return new ProblemDetails(
                statusOf(answer.reason()),
                answer.reason().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                answer.detail(),
                answer.execution(),
                Optional.of(submission),
                answer.retryAfter());
    }

    /**
     * Returns the problem as a JSON object.
     *
     * @return the object
     */
    public ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", "urn:caperturn:" + reason);
        json.put("title", reason.replace('-', ' '));
        json.put("status", status);
        json.put("detail", detail);
        json.put("reason", reason);
        json.put("execution", execution.label());
        submission.ifPresent(id -> json.put("submission", id.toString()));
        retryAfter.ifPresent(after -> json.put("retryAfterMilliseconds", after.toMillis()));
        return json;
    }

    private static int statusOf(FailureReason reason) {
        return switch (reason) {
            // DIGEST_CONFLICT: the key was used with other content.
            case DIGEST_CONFLICT, CANCELLED -> 409;
            case ANSWER_EXPIRED -> 410;
            case UNKNOWN_KIND -> 422;
            case QUEUE_FULL, RATE_LIMITED -> 429;
            case TASK_FAILED, OWNER_LOST -> 502;
            case OVERLOADED, DRAINING, NO_UPSTREAM, STORE_UNAVAILABLE, STALE_TABLE -> 503;
            case DEADLINE -> 504;
        };
    }
}
