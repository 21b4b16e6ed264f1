package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Whether a submission may enter the queues. */
public sealed interface AdmissionDecision {
    /**
     * It may.
     *
     * @param urgency the urgency in force for it
     * @param taskTimeout the longest time that one of its tasks may run
     */
    record Admitted(Urgency urgency, Duration taskTimeout) implements AdmissionDecision {
        /** Checks that both parts are present. */
        public Admitted {
            Objects.requireNonNull(urgency, "urgency");
            Objects.requireNonNull(taskTimeout, "taskTimeout");
        }
    }

    /**
     * It may not; nothing of it ran.
     *
     * @param reason the machine-readable cause
     * @param detail one line for people
     * @param retryAfter when the client may come back, empty where coming back can't help
     */
    record Refused(FailureReason reason, String detail, Optional<Duration> retryAfter) implements AdmissionDecision {
        /** Checks that all parts are present. */
        public Refused {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
