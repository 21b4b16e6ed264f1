package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * What a client got for one request.
 *
 * @param status the HTTP status, 0 if the connection ended without an answer
 * @param headers the answer's headers, by names in lower case
 * @param body the answer's JSON, an object without members if it has none
 * @param took from sending the request to its end
 * @param failure why there was no answer, empty if there was one
 */
public record ClientAnswer(int status, Map<String, String> headers, JsonNode body, Duration took, String failure) {
    private static final int OK = 200;

    /** Copies the headers. */
    public ClientAnswer {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Says whether there was an answer at all.
     *
     * @return whether a whole HTTP answer came
     */
    public boolean isAnswered() {
        return status != 0;
    }

    /**
     * Says whether the work is complete.
     *
     * @return whether the status is 200
     */
    public boolean isComplete() {
        return status == OK;
    }

    /**
     * Returns the problem's reason.
     *
     * @return the reason, empty if this is no problem
     */
    public String reason() {
        return body.path("reason").asText("");
    }

    /**
     * Returns what the problem says about starts.
     *
     * @return {@code not-run}, {@code attempt-not-run}, {@code may-have-run} or {@code ran}; empty if this is no
     *     problem
     */
    public String execution() {
        return body.path("execution").asText("");
    }
}
