package io.caperturn.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Answer to a submission (a job or single request); a submission gets exactly one, complete or failed as a whole. */
public sealed interface Answer {
    /**
     * Every task completed.
     *
     * @param results one result for each task, in the order of the submission's tasks
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
     * @param reason the machine-readable reason
     * @param execution what is known about whether any task of the submission ran
     * @param detail a human-readable explanation in one line
     * @param retryAfter the delay before the client may retry; always present if the submission was refused because of
     *     load
     */
    record Failed(FailureReason reason, Execution execution, String detail, Optional<Duration> retryAfter)
            implements Answer {
        /** Checks that no component is null. */
        public Failed {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(execution, "execution");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
