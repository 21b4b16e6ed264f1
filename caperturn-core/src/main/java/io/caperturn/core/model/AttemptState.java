package io.caperturn.core.model;

import java.util.Objects;

/** State of an attempt in the ledger of a sidecar, which is the sidecar's record of attempts. */
public sealed interface AttemptState {
    /** Accepted; waits for a slot of the upstream. */
    record Queued() implements AttemptState {}

    /** Handed to the upstream. */
    record Running() implements AttemptState {}

    /**
     * Finished.
     *
     * @param outcome the outcome
     */
    record Done(TaskOutcome outcome) implements AttemptState {
        /** Checks that the outcome is present. */
        public Done {
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Did not start at this sidecar and never will.
     *
     * @param reason the reason
     */
    record NotStarted(NotStartedReason reason) implements AttemptState {
        /** Checks that the reason is present. */
        public NotStarted {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
