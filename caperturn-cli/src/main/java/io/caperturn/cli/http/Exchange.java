package io.caperturn.cli.http;

import java.util.Objects;
import java.util.Optional;

/** How an exchange with an entry ended. */
public sealed interface Exchange {
    /**
     * The entry replied.
     *
     * @param status the HTTP status
     * @param body the whole body
     * @param retryAfter the header {@code Retry-After}, if present
     */
    record Replied(int status, String body, Optional<String> retryAfter) implements Exchange {
        /** Checks that all parts are present. */
        public Replied {
            Objects.requireNonNull(body, "body");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * No connection was made, so nothing was sent.
     *
     * @param cause one line for people
     */
    record NotSent(String cause) implements Exchange {}

    /**
     * The request may have been received, but no whole reply came.
     *
     * @param cause one line for people
     */
    record Lost(String cause) implements Exchange {}
}
