package io.caperturn.replay.simulation;

import io.caperturn.core.model.FailureReason;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Histograms of the ratio of response time to ideal response time, of urgent and of other submissions. The ratios are
 * recorded in thousandths, with three significant digits.
 */
final class ResponseTimes {
    private static final double HISTOGRAM_UNITS_PER_RATIO = 1_000;
    private static final long MAXIMUM_HISTOGRAM_VALUE = 10_000_000_000L;

    private final Histogram urgent = new Histogram(MAXIMUM_HISTOGRAM_VALUE, 3);
    private final Histogram other = new Histogram(MAXIMUM_HISTOGRAM_VALUE, 3);
    private final Map<FailureReason, Long> failures = new EnumMap<>(FailureReason.class);
    private long cancellations;

    void recordRatio(boolean isUrgent, double ratio) {
        long value = Math.max(1, Math.min(MAXIMUM_HISTOGRAM_VALUE, Math.round(ratio * HISTOGRAM_UNITS_PER_RATIO)));
        (isUrgent ? urgent : other).recordValue(value);
    }

    /**
     * Records a failed submission with its deadline as the response time, since the client has to submit the work
     * again.
     *
     * @param isUrgent true for an urgent submission
     * @param reason the reason of the failure
     * @param deadlineRatio the deadline divided by the ideal response time
     */
    void recordFailure(boolean isUrgent, FailureReason reason, double deadlineRatio) {
        failures.merge(reason, 1L, Long::sum);
        recordRatio(isUrgent, deadlineRatio);
    }

    void recordCancellation() {
        cancellations++;
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
        return cancellations;
    }
}
