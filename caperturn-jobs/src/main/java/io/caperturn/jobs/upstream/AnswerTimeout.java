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
    /**
     * Minimum time-out, in milliseconds. A task whose order is given up is sent again, and a short one can still be on
     * time then.
     */
    private static final long MINIMUM_MILLISECONDS = 25;
    /** Time after an unanswered order for which others are likely to stay unanswered too, in milliseconds. */
    private static final long SILENCE_MEMORY_MILLISECONDS = 2_000;

    /** Number of answers from which the estimate is used: a process that has just started is slow itself. */
    private static final int MINIMUM_ANSWERS = 16;

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATION_FACTOR = 4;

    private final long maximumMilliseconds;
    private double mean;
    private double deviation;
    private int answers;
    private long backOffFactor = 1;
    private long lastUnansweredAt = Long.MIN_VALUE / 2;

    /**
     * Creates an estimate, which is the maximum until enough orders have been answered.
     *
     * @param maximumMilliseconds maximum time-out, in milliseconds
     */
    AnswerTimeout(long maximumMilliseconds) {
        this.maximumMilliseconds = maximumMilliseconds;
    }

    /**
     * Records the answer to an order, or that there was none; an order that was not sent says nothing.
     *
     * @param answer the answer
     * @param sentAt when the order was sent, in milliseconds of the loop's clock
     * @param now when it was answered or given up, in milliseconds of the loop's clock
     */
    void record(UpstreamPort.Answer answer, long sentAt, long now) {
        switch (answer) {
            case UpstreamPort.Answer.NotSent ignored -> {}
            case UpstreamPort.Answer.Unanswered ignored -> recordUnanswered(now);
            default -> recordAnswer(now - sentAt);
        }
    }

    /** Records the time in milliseconds that the upstream took to answer an order. */
    void recordAnswer(long tookMilliseconds) {
        if (answers > 0) {
            deviation += DEVIATION_GAIN * (Math.abs(tookMilliseconds - mean) - deviation);
            mean += MEAN_GAIN * (tookMilliseconds - mean);
        } else {
            mean = tookMilliseconds;
            deviation = tookMilliseconds / 2.0;
        }
        answers++;
        backOffFactor = 1;
    }

    /** Records an unanswered order; {@code now} is in milliseconds of the loop's clock. */
    void recordUnanswered(long now) {
        lastUnansweredAt = now;
        if (repeatableMilliseconds() < maximumMilliseconds) {
            backOffFactor *= 2;
        }
    }

    /** Returns the present time-out, in milliseconds. */
    long milliseconds() {
        return answers < MINIMUM_ANSWERS ? maximumMilliseconds : repeatableMilliseconds();
    }

    /** Returns the present time-out of a hold, which can be repeated without any doubt, in milliseconds. */
    long repeatableMilliseconds() {
        if (answers == 0) {
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
