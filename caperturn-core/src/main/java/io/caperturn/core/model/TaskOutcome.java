package io.caperturn.core.model;

import java.time.Duration;
import java.util.Objects;

/** How an attempt to run a task ended. */
public sealed interface TaskOutcome {
    /**
     * The upstream answered with a result.
     *
     * @param result the upstream's body, JSON text
     * @param serviceTime the time between the start at the upstream and its answer
     */
    record Completed(String result, Duration serviceTime) implements TaskOutcome {
        /** Checks that both parts are present. */
        public Completed {
            Objects.requireNonNull(result, "result");
            Objects.requireNonNull(serviceTime, "serviceTime");
        }
    }

    /**
     * The attempt ended without a result.
     *
     * @param execution what is known about whether it ran; {@link Execution#NOT_RUN} only on proof
     * @param reason one line for people
     * @param serviceTime the time between the start and the failure, zero if it never started
     */
    record Failed(Execution execution, String reason, Duration serviceTime) implements TaskOutcome {
        /** Checks that all parts are present. */
        public Failed {
            Objects.requireNonNull(execution, "execution");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(serviceTime, "serviceTime");
        }
    }
}
