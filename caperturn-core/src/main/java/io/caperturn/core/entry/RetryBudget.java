package io.caperturn.core.entry;

/**
 * Token bucket that limits retries to a ratio of first attempts, so that retries do not amplify an overload.
 *
 * <p>Each retry takes one token, and each first attempt adds the ratio. Confined to the thread of the
 * {@link EntryMachine}.
 */
final class RetryBudget {
    private static final double MAXIMUM_TOKENS = 10;

    private final double tokensPerFirstAttempt;
    private double tokens = MAXIMUM_TOKENS;

    RetryBudget(double tokensPerFirstAttempt) {
        this.tokensPerFirstAttempt = tokensPerFirstAttempt;
    }

    void recordFirstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + tokensPerFirstAttempt);
    }

    /** Takes a token for one retry, and returns whether there was one. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
