package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Decision on whether a submission is admitted to the queues of waiting tasks. */
public sealed interface AdmissionDecision {
    /**
     * The submission may enter the queues.
     *
     * @param urgency the urgency that the submission requests, or that of its kind of task if it requests none
     * @param taskTimeout the maximum run time of each of its tasks
     */
    record Admitted(Urgency urgency, Duration taskTimeout) implements AdmissionDecision {
        /** Checks that no component is null. */
        public Admitted {
            Objects.requireNonNull(urgency, "urgency");
            Objects.requireNonNull(taskTimeout, "taskTimeout");
        }
    }

    /**
     * The submission may not enter the queues; none of its tasks has run.
     *
     * @param reason the machine-readable cause
     * @param detail a human-readable explanation in one line
     * @param retryAfter the delay before the client may retry, empty if a retry cannot succeed
     */
    record Refused(FailureReason reason, String detail, Optional<Duration> retryAfter) implements AdmissionDecision {
        /** Checks that no component is null. */
        public Refused {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
