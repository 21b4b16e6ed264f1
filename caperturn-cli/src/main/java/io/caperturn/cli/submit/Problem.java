package io.caperturn.cli.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.Exchange;
import io.caperturn.core.model.Execution;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Problem details (RFC 9457) by which an entry refuses or fails a submission.
 *
 * @param reason the machine-readable cause
 * @param execution what is known about whether the work ran
 * @param detail one line for people
 * @param retryAfter when coming back can help
 */
public record Problem(String reason, Execution execution, String detail, Optional<Duration> retryAfter) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Checks that all parts are present. */
    public Problem {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(execution, "execution");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Reads the problem from a reply.
     *
     * @param reply the reply
     * @return the problem, or empty if the reply does not say whether the work ran, as that of a balancer may be
     */
    public static Optional<Problem> read(Exchange.Replied reply) {
        JsonNode body;
        try {
            body = MAPPER.readTree(reply.body());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        return Arrays.stream(Execution.values())
                .filter(value -> value.label().equals(body.path("execution").asText()))
                .findFirst()
                .map(execution -> new Problem(
                        body.path("reason").asText("unknown"),
                        execution,
                        body.path("detail").asText(body.path("title").asText()),
                        retryAfter(body, reply)));
    }

    /**
     * Tells whether the same submission may be sent again after a while.
     *
     * @return true if nothing ran and the entry says when to come back
     */
    public boolean allowsRetry() {
        return execution.isNotRun() && retryAfter.isPresent();
    }

    private static Optional<Duration> retryAfter(JsonNode body, Exchange.Replied reply) {
        JsonNode milliseconds = body.path("retryAfterMilliseconds");
        if (milliseconds.canConvertToLong() && milliseconds.asLong() >= 0) {
            return Optional.of(Duration.ofMillis(milliseconds.asLong()));
        }
        return reply.retryAfter()
                .filter(text -> text.matches("[0-9]{1,9}"))
                .map(text -> Duration.ofSeconds(Long.parseLong(text)));
    }
}
