package io.caperturn.replay.report;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.caperturn.core.model.FailureReason;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a replay with one policy measured.
 *
 * @param policy the policy's name
 * @param urgent response time over ideal of urgent submissions
 * @param other response time over ideal of other submissions
 * @param failures submissions without a complete answer; all but the cancelled count with their deadline above
 * @param traffic messages and frames between entries and sidecars
 * @param lostSlotShare slot time in which a slot was idle while a task waited, as a part of that and busy slot time
 * @param fairnessDeviation the largest deviation of a backlogged kind's slot time from its weight's share over 10 s
 * @param limitBreaches starts by which a kind or team had more tasks running than its limit
 */
public record Measures(
        String policy,
        Distribution urgent,
        Distribution other,
        Failures failures,
        Traffic traffic,
        double lostSlotShare,
        double fairnessDeviation,
        long limitBreaches) {
    private static final double UNITS = 1_000;

    /**
     * Distribution of response time over ideal.
     *
     * @param count how many submissions
     * @param mean the mean
     * @param median the median
     * @param percentile99 the 99th percentile
     * @param percentiles every percentile from 0 to 100
     */
    public record Distribution(
            long count,
            double mean,
            double median,
            double percentile99,
            @JsonIgnore List<Double> percentiles) {
        /** Copies the percentiles. */
        public Distribution {
            percentiles = List.copyOf(percentiles);
        }

        /**
         * Sums up a histogram of thousandths.
         *
         * @param histogram the histogram
         * @return its distribution
         */
        public static Distribution of(Histogram histogram) {
            List<Double> percentiles = new ArrayList<>();
            for (int percentile = 0; percentile <= 100; percentile++) {
                percentiles.add(histogram.getValueAtPercentile(percentile) / UNITS);
            }
            return new Distribution(
                    histogram.getTotalCount(),
                    histogram.getMean() / UNITS,
                    histogram.getValueAtPercentile(50) / UNITS,
                    histogram.getValueAtPercentile(99) / UNITS,
                    percentiles);
        }
    }

    /**
     * Submissions without a complete answer.
     *
     * @param byReason failed and refused ones by reason
     * @param cancelled those that their clients cancelled
     */
    public record Failures(Map<FailureReason, Long> byReason, long cancelled) {
        /** Copies the numbers. */
        public Failures {
            byReason = Map.copyOf(byReason);
        }

        /**
         * Returns how many failed or were refused.
         *
         * @return the number without the cancelled ones
         */
        public long total() {
            return byReason.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    /**
     * Traffic between entries and sidecars.
     *
     * @param starts task starts at upstreams
     * @param messages messages, a frame holding one or more
     * @param frames frames
     * @param messagesByType messages by the event that they cause at their receiver
     */
    public record Traffic(long starts, long messages, long frames, Map<String, Long> messagesByType) {
        /** Copies the numbers. */
        public Traffic {
            messagesByType = Collections.unmodifiableMap(new TreeMap<>(messagesByType));
        }

        /**
         * Returns messages for each task.
         *
         * @return messages over starts
         */
        public double messagesPerTask() {
            return (double) messages / Math.max(1, starts);
        }

        /**
         * Returns frames for each task.
         *
         * @return frames over starts
         */
        public double framesPerTask() {
            return (double) frames / Math.max(1, starts);
        }
    }
}
