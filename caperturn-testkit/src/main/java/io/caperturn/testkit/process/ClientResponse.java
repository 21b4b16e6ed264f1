package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * Response to a request of a client, or the reason why there is none.
 *
 * @param status the HTTP status; 0 if the request failed without a response
 * @param headers the response headers, by names in lower case
 * @param body the JSON body; an object with the member {@code text} for other content, empty without a response
 * @param duration the time from sending the request to the response or failure
 * @param failure the reason why there is no response; empty if there is one
 */
public record ClientResponse(
        int status, Map<String, String> headers, JsonNode body, Duration duration, String failure) {
    private static final int OK = 200;

    /** Copies the headers and checks that there is a body. */
    public ClientResponse {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns whether a response was received.
     *
     * @return whether a complete HTTP response was received, with any status
     */
    public boolean isReceived() {
        return status != 0;
    }

    /**
     * Returns whether all work was completed.
     *
     * @return whether the status is 200
     */
    public boolean isSuccessful() {
        return status == OK;
    }

    /**
     * Returns the reason stated by a problem response, the JSON body of an error.
     *
     * @return the reason; empty if this is not a problem response
     */
    public String reason() {
        return body.path("reason").asText("");
    }

    /**
     * Returns whether the work may have run, as stated by a problem response.
     *
     * @return {@code not-run}, {@code attempt-not-run}, {@code may-have-run} or {@code ran}; empty if this is not a
     *     problem response
     */
    public String execution() {
        return body.path("execution").asText("");
    }
}
