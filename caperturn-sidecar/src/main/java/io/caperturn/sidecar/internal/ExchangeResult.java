package io.caperturn.sidecar.internal;

import java.util.Objects;

/** Result of an HTTP exchange, a request to the upstream and its response. */
public sealed interface ExchangeResult {
    /**
     * A complete response was received.
     *
     * @param status the HTTP status code
     * @param body the response body, empty for none
     */
    record ResponseReceived(int status, String body) implements ExchangeResult {
        /**
         * Checks that the body is present.
         *
         * @throws NullPointerException if the body is null
         */
        public ResponseReceived {
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The connection was refused; no byte of the request was written.
     *
     * @param detail one line that describes the error
     */
    record ConnectionRefused(String detail) implements ExchangeResult {}

    /** No upstream has announced an address; nothing was sent. */
    record AddressUnknown() implements ExchangeResult {}

    /** No complete response was received within the time-out of the task. */
    record TimedOut() implements ExchangeResult {}

    /**
     * The exchange failed in another way, such as a connection that was reset or closed, or a malformed or oversized
     * response.
     *
     * @param detail one line that describes the error
     */
    record ExchangeFailed(String detail) implements ExchangeResult {}
}
