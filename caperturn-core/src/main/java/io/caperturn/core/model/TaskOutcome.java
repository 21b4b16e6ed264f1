package io.caperturn.core.model;

import java.time.Duration;
import java.util.Objects;

/** Outcome of an attempt to run a task. */
public sealed interface TaskOutcome {
    /**
     * The upstream answered with a result.
     *
     * @param result the upstream's response body, JSON text
     * @param serviceTime the time between the start at the upstream and its answer
     */
    record Completed(String result, Duration serviceTime) implements TaskOutcome {
        /** Checks that no component is null. */
        public Completed {
            Objects.requireNonNull(result, "result");
            Objects.requireNonNull(serviceTime, "serviceTime");
        }
    }

    /**
     * The attempt finished without a result.
     *
     * @param execution what is known about whether the task ran; {@link Execution#NOT_RUN} only if it is proven that it
     *     did not
     * @param reason a human-readable explanation in one line
     * @param serviceTime the time between the start at the upstream and the failure, zero if the task did not start
     */
    record Failed(Execution execution, String reason, Duration serviceTime) implements TaskOutcome {
        /** Checks that no component is null. */
        public Failed {
            Objects.requireNonNull(execution, "execution");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(serviceTime, "serviceTime");
        }
    }
}
