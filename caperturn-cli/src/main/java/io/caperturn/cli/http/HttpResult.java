package io.caperturn.cli.http;

import java.util.Objects;
import java.util.Optional;

/** Result of an HTTP request to an entry (process that accepts submissions). */
public sealed interface HttpResult {
    /**
     * The entry responded.
     *
     * @param status the HTTP status
     * @param body the complete body
     * @param retryAfter the value of the header {@code Retry-After}, if present
     */
    record Response(int status, String body, Optional<String> retryAfter) implements HttpResult {
        /** Checks that all parts are present. */
        public Response {
            Objects.requireNonNull(body, "body");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * No connection could be opened, so the request was not sent.
     *
     * @param cause a description of the failure in one line
     */
    record NotSent(String cause) implements HttpResult {}

    /**
     * The entry may have received the request, but no complete response arrived.
     *
     * @param cause a description of the failure in one line
     */
    record Unconfirmed(String cause) implements HttpResult {}
}
