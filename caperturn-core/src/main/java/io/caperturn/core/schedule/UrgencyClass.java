package io.caperturn.core.schedule;

/** Queues of one urgency, and the share of slot time that they get when they wait too long behind more urgent tasks. */
final class UrgencyClass {
    /** Limits the burst of an overdue class after a long time in which it used none of its share. */
    private static final double MAXIMUM_CREDIT_SECONDS = 5;

    private final long waitBeforeNext;
    private final long waitBeforeAll;
    private final FairQueue<KindQueue> kindQueues = new FairQueue<>();
    private double creditSeconds;

    /**
     * Creates the class; {@link Long#MAX_VALUE} means that the class never goes ahead of a more urgent one.
     *
     * @param waitBeforeNext the wait after which it goes ahead of the next more urgent class within its share, in
     *     nanoseconds
     * @param waitBeforeAll the wait after which it goes ahead of every class within its share, in nanoseconds
     */
    UrgencyClass(long waitBeforeNext, long waitBeforeAll) {
        this.waitBeforeNext = waitBeforeNext;
        this.waitBeforeAll = waitBeforeAll;
    }

    FairQueue<KindQueue> kindQueues() {
        return kindQueues;
    }

    /** Returns whether the class goes ahead of every other now. */
    boolean isAheadOfAll(long now) {
        return creditSeconds >= 0 && longestWait(now) > waitBeforeAll;
    }

    /** Returns whether the class goes ahead of the next more urgent one now. */
    boolean isAheadOfNext(long now) {
        if (longestWait(now) <= waitBeforeNext) {
            creditSeconds = 0;
            return false;
        }
        return creditSeconds >= 0;
    }

    private long longestWait(long now) {
        long longest = 0;
        if (waitBeforeNext == Long.MAX_VALUE && waitBeforeAll == Long.MAX_VALUE) {
            return longest;
        }
        for (KindQueue kindQueue : kindQueues) {
            longest = Math.max(longest, now - kindQueue.longestWaitingSince());
        }
        return longest;
    }

    void addCredit(double seconds) {
        creditSeconds = Math.min(MAXIMUM_CREDIT_SECONDS, creditSeconds + seconds);
    }

    void spendCredit(double seconds) {
        creditSeconds -= seconds;
    }
}
