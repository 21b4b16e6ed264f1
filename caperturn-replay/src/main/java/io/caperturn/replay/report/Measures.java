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
 * Measures of a replay with one policy.
 *
 * <p>The ideal response time of a submission is the time that it would take alone on all slots that its limits allow.
 * Slot time is time summed over all slots.
 *
 * @param policy the name of the policy
 * @param urgent the ratios of response time to ideal response time of urgent submissions
 * @param other the same ratios of the other submissions
 * @param failures submissions without a complete answer; in the ratios above, a failed submission counts with its
 *     deadline as the response time, and a cancelled one does not count
 * @param traffic the messages and frames between entry and sidecar processes
 * @param lostSlotShare the lost slot time, in which a slot was idle although a task of a kind without limits waited,
 *     divided by the sum of lost and busy slot time
 * @param fairnessDeviation the maximum relative deviation of the slot time of a kind with a backlog from the share that
 *     its weight gives, over any 10 s
 * @param limitBreaches the number of starts after which a kind or team had more running tasks than its limit
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
    private static final double HISTOGRAM_UNITS_PER_RATIO = 1_000;

    /**
     * Distribution of the ratios of response time to ideal response time.
     *
     * @param count the number of submissions
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
         * Returns the distribution of a histogram whose values are ratios in thousandths.
         *
         * @param histogram the histogram
         * @return the distribution
         */
        public static Distribution of(Histogram histogram) {
            List<Double> percentiles = new ArrayList<>();
            for (int percentile = 0; percentile <= 100; percentile++) {
                percentiles.add(histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_RATIO);
            }
            return new Distribution(
                    histogram.getTotalCount(),
                    histogram.getMean() / HISTOGRAM_UNITS_PER_RATIO,
                    histogram.getValueAtPercentile(50) / HISTOGRAM_UNITS_PER_RATIO,
                    histogram.getValueAtPercentile(99) / HISTOGRAM_UNITS_PER_RATIO,
                    percentiles);
        }
    }

    /**
     * Submissions without a complete answer.
     *
     * @param byReason the number of failed and refused submissions by reason
     * @param cancelled the number of submissions that their clients cancelled
     */
    public record Failures(Map<FailureReason, Long> byReason, long cancelled) {
        /** Copies the map. */
        public Failures {
            byReason = Map.copyOf(byReason);
        }

        /**
         * Returns the number of submissions that failed or were refused.
         *
         * @return the number, without cancelled submissions
         */
        public long total() {
            return byReason.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    /**
     * Traffic between entries and sidecars.
     *
     * @param starts the number of tasks started at upstreams
     * @param messages the number of messages; a frame holds one or more
     * @param frames the number of frames
     * @param messagesByType the number of messages by the simple class name of the event that they cause at the
     *     receiver
     */
    public record Traffic(long starts, long messages, long frames, Map<String, Long> messagesByType) {
        /** Copies the map in the order of its keys. */
        public Traffic {
            messagesByType = Collections.unmodifiableMap(new TreeMap<>(messagesByType));
        }

        /**
         * Returns the number of messages for each started task.
         *
         * @return messages divided by starts
         */
        public double messagesPerTask() {
            return (double) messages / Math.max(1, starts);
        }

        /**
         * Returns the number of frames for each started task.
         *
         * @return frames divided by starts
         */
        public double framesPerTask() {
            return (double) frames / Math.max(1, starts);
        }
    }
}
