package io.caperturn.core.model;

import java.util.Objects;

/** State of an attempt as the ledger of a sidecar knows it. */
public sealed interface AttemptState {
    /** Accepted, waiting for a slot. */
    record Queued() implements AttemptState {}

    /** Handed to the upstream. */
    record Running() implements AttemptState {}

    /**
     * Ended.
     *
     * @param outcome how it ended
     */
    record Done(TaskOutcome outcome) implements AttemptState {
        /** Checks that the outcome is present. */
        public Done {
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Did not start here and never will.
     *
     * @param reason why
     */
    record NotStarted(NotStartedReason reason) implements AttemptState {
        /** Checks that the reason is present. */
        public NotStarted {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
