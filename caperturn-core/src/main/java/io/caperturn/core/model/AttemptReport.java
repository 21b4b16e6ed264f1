package io.caperturn.core.model;

import java.util.Objects;

/**
 * Report on one attempt to run a task, sent by the sidecar that received it.
 *
 * <p>A sidecar is the process beside an upstream that passes tasks to it; its ledger is its record of attempts.
 *
 * @param attempt the attempt
 * @param state its state in the sidecar's ledger
 */
public record AttemptReport(AttemptId attempt, AttemptState state) {
    /** Checks that no component is null. */
    public AttemptReport {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(state, "state");
    }
}
