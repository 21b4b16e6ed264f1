package io.caperturn.core.model;

import java.util.Objects;

/**
 * A sidecar's report on one attempt.
 *
 * @param attempt the attempt
 * @param state its state in the sidecar's ledger
 */
public record AttemptReport(AttemptId attempt, AttemptState state) {
    /** Checks that both parts are present. */
    public AttemptReport {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(state, "state");
    }
}
