package io.caperturn.replay.simulation;

import io.caperturn.core.model.FailureReason;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Distributions of response time over ideal, of urgent and of other work. */
final class ResponseTimes {
    private static final double UNITS = 1_000;
    private static final long HIGHEST = 10_000_000_000L;

    private final Histogram urgent = new Histogram(HIGHEST, 3);
    private final Histogram other = new Histogram(HIGHEST, 3);
    private final Map<FailureReason, Long> failures = new EnumMap<>(FailureReason.class);
    private long cancelled;

    void completed(boolean isUrgent, double ratio) {
        long value = Math.max(1, Math.min(HIGHEST, Math.round(ratio * UNITS)));
        (isUrgent ? urgent : other).recordValue(value);
    }

    /** Counts a failed submission with its deadline, since its client has to come back. */
    void failed(boolean isUrgent, FailureReason reason, double deadlineRatio) {
        failures.merge(reason, 1L, Long::sum);
        completed(isUrgent, deadlineRatio);
    }

    void cancelled() {
        cancelled++;
    }

    Histogram urgent() {
        return urgent;
    }

    Histogram other() {
        return other;
    }

    Map<FailureReason, Long> failures() {
        return failures;
    }

    long cancellations() {
        return cancelled;
    }
}
