package io.caperturn.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The one answer to a submission: complete or failed, never partial. */
public sealed interface Answer {
    /**
     * Every task completed.
     *
     * @param results one result for each task, in the submission's order
     */
    record Complete(List<TaskResult> results) implements Answer {
        /** Copies the results. */
        public Complete {
            results = List.copyOf(results);
        }
    }

    /**
     * The submission was refused or failed as a whole.
     *
     * @param reason the machine-readable cause
     * @param execution what is known about whether any of it ran
     * @param detail one line for people
     * @param retryAfter when the client may come back, present on every refusal for load
     */
    record Failed(FailureReason reason, Execution execution, String detail, Optional<Duration> retryAfter)
            implements Answer {
        /** Checks that all parts are present. */
        public Failed {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(execution, "execution");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
