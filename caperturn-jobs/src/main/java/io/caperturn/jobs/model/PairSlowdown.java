package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Estimated slowdown of the runs of one queue while a run of another queue is active on the same upstream.
 *
 * @param queue queue whose runs take longer
 * @param beside queue beside whose runs they do
 * @param logSlowdownThousandths natural logarithm of the factor by which the runs take longer, in thousandths
 * @param standardErrorThousandths standard error of that logarithm, in thousandths
 */
public record PairSlowdown(String queue, String beside, int logSlowdownThousandths, int standardErrorThousandths) {
    private static final double THOUSANDTHS = 1_000;

    /**
     * Checks the names and the error.
     *
     * @throws IllegalArgumentException if the standard error is not positive
     */
    public PairSlowdown {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(beside, "beside");
        if (standardErrorThousandths <= 0) {
            throw new IllegalArgumentException("standard error " + standardErrorThousandths);
        }
    }

    /**
     * Creates an estimate, rounded to thousandths.
     *
     * @param queue queue whose runs take longer
     * @param beside queue beside whose runs they do
     * @param logSlowdown natural logarithm of the slowdown
     * @param standardError standard error of that logarithm
     * @return the estimate
     */
    public static PairSlowdown of(String queue, String beside, double logSlowdown, double standardError) {
        return new PairSlowdown(queue, beside, (int) Math.round(logSlowdown * THOUSANDTHS), Math.max(1, (int)
                Math.round(standardError * THOUSANDTHS)));
    }

    /**
     * Returns the natural logarithm of the slowdown.
     *
     * @return the logarithm; 0 if the runs take as long as alone
     */
    public double logSlowdown() {
        return logSlowdownThousandths / THOUSANDTHS;
    }

    /**
     * Returns the standard error of the logarithm of the slowdown.
     *
     * @return the standard error, above 0
     */
    public double standardError() {
        return standardErrorThousandths / THOUSANDTHS;
    }
}
