package io.caperturn.jobs.upstream;

/** Belief of a sidecar process whether its upstream can be reached, from answers to its orders and their absence. */
final class Reachability {
    /** Minimum number of consecutive unanswered holds after which the upstream counts as silent. */
    private static final int MAXIMUM_UNANSWERED_HOLDS = 2;
    /**
     * Minimum time without an answer after which the upstream counts as silent, in milliseconds, unless it refuses
     * connections.
     */
    private static final long SILENCE_MILLISECONDS = 750;

    private long unansweredHolds;
    /** When the first of the unanswered orders was sent, in milliseconds of the loop's clock. */
    private long unansweredSince;
    /** Whether too many holds stayed unanswered since the last answer. */
    private boolean silent;
    /** Whether an order could not be sent since the last answer. */
    private boolean orderNotSent;

    /** Returns whether several consecutive holds went unanswered. */
    boolean isSilent() {
        return silent;
    }

    /** Returns whether orders are likely to be answered: the upstream is not silent, and the last order was sent. */
    boolean isReachable() {
        return !silent && !orderNotSent;
    }

    /** Returns the number of holds that went unanswered since the last answer. */
    long unansweredHolds() {
        return unansweredHolds;
    }

    /** Records an answer; returns whether the upstream counted as not reachable before. */
    boolean recordAnswer() {
        boolean wasUnreachable = !isReachable();
        unansweredHolds = 0;
        silent = false;
        orderNotSent = false;
        return wasUnreachable;
    }

    /** Records that an order other than a hold could not be sent, at a time in milliseconds of the loop's clock. */
    void recordOrderNotSent(long now) {
        orderNotSent = true;
        if (unansweredHolds == 0) {
            unansweredHolds = 1;
            unansweredSince = now;
        }
    }

    /**
     * Records an unanswered hold; returns whether the upstream is silent from now on.
     *
     * @param sentAt when the hold was sent, in milliseconds of the loop's clock
     * @param now when it was given up, in milliseconds of the loop's clock
     * @param connectionRefused whether the upstream refused the connection
     */
    boolean recordUnansweredHold(long sentAt, long now, boolean connectionRefused) {
        if (unansweredHolds == 0) {
            unansweredSince = sentAt;
        }
        unansweredHolds++;
        boolean becomesSilent = !silent
                && unansweredHolds >= MAXIMUM_UNANSWERED_HOLDS
                && (connectionRefused || now - unansweredSince >= SILENCE_MILLISECONDS);
        silent |= becomesSilent;
        return becomesSilent;
    }
}
