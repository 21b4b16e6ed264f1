package io.caperturn.core.entry;

/**
 * Budget that keeps retries below a ratio of first attempts, so that a storm of failures is not amplified.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class RetryBudget {
    private static final double MAXIMUM_TOKENS = 10;

    private final double ratio;
    private double tokens = MAXIMUM_TOKENS;

    RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    void firstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + ratio);
    }

    boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
