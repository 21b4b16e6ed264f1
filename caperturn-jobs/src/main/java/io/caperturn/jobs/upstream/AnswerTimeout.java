package io.caperturn.jobs.upstream;

/**
 * Time-out of orders to the upstream, estimated from the times that it took to answer earlier ones.
 *
 * <p>Mean and deviation are estimated as for the retransmission timer of TCP (V. Jacobson, M. Karels, "Congestion
 * Avoidance and Control", 1988; constants of RFC 6298); an unanswered order doubles the time-out until the next answer.
 * An order that is given up too early is only in doubt until the upstream has listed its runs, so a short time-out
 * costs little, whereas a task whose order got lost waits for the whole time-out.
 */
final class AnswerTimeout {
    /** Minimum time-out, in milliseconds: the pauses of a process that has half a core. */
    private static final long MINIMUM_MILLISECONDS = 60;
    /** Time after an unanswered order for which others are likely to stay unanswered too, in milliseconds. */
    private static final long SILENCE_MEMORY_MILLISECONDS = 2_000;

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATION_FACTOR = 4;

    private final long maximumMilliseconds;
    private double mean;
    private double deviation;
    private boolean measured;
    private long backOffFactor = 1;
    private long lastUnansweredAt = Long.MIN_VALUE / 2;

    /**
     * Creates an estimate without measurements, which is the maximum.
     *
     * @param maximumMilliseconds maximum time-out, in milliseconds
     */
    AnswerTimeout(long maximumMilliseconds) {
        this.maximumMilliseconds = maximumMilliseconds;
    }

    /**
     * Records the answer to an order, or that there was none.
     *
     * @param answer the answer
     * @param sentAt when the order was sent, in milliseconds of the loop's clock
     * @param now when it was answered or given up, in milliseconds of the loop's clock
     */
    void record(UpstreamPort.Answer answer, long sentAt, long now) {
        if (answer instanceof UpstreamPort.Answer.Unanswered) {
            recordUnanswered(now);
        } else {
            recordAnswer(now - sentAt);
        }
    }

    /** Records the time in milliseconds that the upstream took to answer an order. */
    void recordAnswer(long tookMilliseconds) {
        if (measured) {
            deviation += DEVIATION_GAIN * (Math.abs(tookMilliseconds - mean) - deviation);
            mean += MEAN_GAIN * (tookMilliseconds - mean);
        } else {
            measured = true;
            mean = tookMilliseconds;
            deviation = tookMilliseconds / 2.0;
        }
        backOffFactor = 1;
    }

    /** Records an unanswered order; {@code now} is in milliseconds of the loop's clock. */
    void recordUnanswered(long now) {
        lastUnansweredAt = now;
        if (milliseconds() < maximumMilliseconds) {
            backOffFactor *= 2;
        }
    }

    /** Returns the present time-out, in milliseconds. */
    long milliseconds() {
        if (!measured) {
            return maximumMilliseconds;
        }
        double estimate = Math.max(MINIMUM_MILLISECONDS, mean + DEVIATION_FACTOR * deviation);
        return Math.round(Math.min(maximumMilliseconds, backOffFactor * estimate));
    }

    /** Returns whether an order stayed unanswered lately; {@code now} is in milliseconds of the loop's clock. */
    boolean isSilenceRecent(long now) {
        return now - lastUnansweredAt < SILENCE_MEMORY_MILLISECONDS;
    }
}
