package io.caperturn.sidecar.internal;

import java.util.Objects;

/** How an HTTP exchange with the upstream ended. */
public sealed interface ExchangeEnd {
    /**
     * A whole answer arrived.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answered(int status, String body) implements ExchangeEnd {
        /** Checks that the body is present. */
        public Answered {
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The connection was refused; no byte of the request was written.
     *
     * @param detail one line for people
     */
    record ConnectionRefused(String detail) implements ExchangeEnd {}

    /** No upstream has announced an address; nothing was sent. */
    record NoAddress() implements ExchangeEnd {}

    /** The longest time that the task may run has passed. */
    record TimedOut() implements ExchangeEnd {}

    /**
     * The exchange broke in any other way: reset, closed, malformed or oversized answer.
     *
     * @param detail one line for people
     */
    record Broken(String detail) implements ExchangeEnd {}
}
