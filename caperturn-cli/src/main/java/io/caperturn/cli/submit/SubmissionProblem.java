package io.caperturn.cli.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.HttpResult;
import io.caperturn.core.model.Execution;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Problem details (RFC 9457) with which an entry process reports that it refused a submission or that the submission
 * failed.
 *
 * @param reason the machine-readable reason
 * @param execution whether the work ran, as far as the entry knows
 * @param detail a description of the problem in one line
 * @param retryAfter the time after which a retry may succeed, if the entry gives one
 */
public record SubmissionProblem(String reason, Execution execution, String detail, Optional<Duration> retryAfter) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Checks that all parts are present. */
    public SubmissionProblem {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(execution, "execution");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Parses the problem details of a response.
     *
     * @param response the response
     * @return the problem, or empty if the response does not say whether the work ran, for example one from a load
     *     balancer
     */
    public static Optional<SubmissionProblem> read(HttpResult.Response response) {
        JsonNode body;
        try {
            body = MAPPER.readTree(response.body());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        return Arrays.stream(Execution.values())
                .filter(value -> value.label().equals(body.path("execution").asText()))
                .findFirst()
                .map(execution -> new SubmissionProblem(
                        body.path("reason").asText("unknown"),
                        execution,
                        body.path("detail").asText(body.path("title").asText()),
                        parseRetryAfter(body, response)));
    }

    /**
     * Returns whether the same submission may be sent again after {@link #retryAfter()}.
     *
     * @return true if nothing ran and the entry gives a time for a retry
     */
    public boolean isRetryAllowed() {
        return execution.isNotRun() && retryAfter.isPresent();
    }

    private static Optional<Duration> parseRetryAfter(JsonNode body, HttpResult.Response response) {
        JsonNode milliseconds = body.path("retryAfterMilliseconds");
        if (milliseconds.canConvertToLong() && milliseconds.asLong() >= 0) {
            return Optional.of(Duration.ofMillis(milliseconds.asLong()));
        }
        return response.retryAfter()
                .filter(text -> text.matches("[0-9]{1,9}"))
                .map(text -> Duration.ofSeconds(Long.parseLong(text)));
    }
}
