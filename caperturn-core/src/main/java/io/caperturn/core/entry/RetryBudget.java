package io.caperturn.core.entry;

/**
 * Token bucket that limits retries to a ratio of first attempts, so that retries do not amplify an overload.
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

    void recordFirstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + ratio);
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
