package io.caperturn.core.model;

import java.util.Objects;

/**
 * State of an attempt to run a task, as recorded by a sidecar.
 *
 * <p>A sidecar is the process beside an upstream that passes tasks to it, at most one in each slot of the upstream.
 */
public sealed interface AttemptState {
    /** The attempt was accepted and waits for a free slot of the upstream. */
    record Queued() implements AttemptState {}

    /** The attempt was sent to the upstream, which has not answered yet. */
    record Running() implements AttemptState {}

    /**
     * The attempt finished.
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
     * The attempt did not start at this sidecar and never will.
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
