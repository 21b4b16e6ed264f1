package io.caperturn.core.schedule;

/**
 * Queues of one urgency, with the credit of slot time that they may use ahead of more urgent tasks.
 *
 * <p>A class whose tasks have waited too long is overdue. It earns credit while more urgent tasks are served and spends
 * it when its own tasks are served ahead of them.
 */
final class UrgencyClass {
    /** Limits how much an overdue class may use at once after a long time in which it used none of its credit. */
    private static final double MAXIMUM_CREDIT_SECONDS = 5;

    private final long waitBeforeNextNanoseconds;
    private final long waitBeforeAllNanoseconds;
    private final FairQueue<KindQueue> kindQueues = new FairQueue<>();
    private double creditSeconds;

    /**
     * Creates the class. A wait of {@link Long#MAX_VALUE} means that the class never goes ahead of a more urgent one.
     *
     * @param waitBeforeNextNanoseconds the wait after which it goes ahead of the next more urgent class within its
     *     share, in nanoseconds
     * @param waitBeforeAllNanoseconds the wait after which it goes ahead of every class within its share, in
     *     nanoseconds
     */
    UrgencyClass(long waitBeforeNextNanoseconds, long waitBeforeAllNanoseconds) {
        this.waitBeforeNextNanoseconds = waitBeforeNextNanoseconds;
        this.waitBeforeAllNanoseconds = waitBeforeAllNanoseconds;
    }

    FairQueue<KindQueue> kindQueues() {
        return kindQueues;
    }

    /** Returns whether the class is overdue and has the credit to go ahead of every other one now. */
    boolean isAheadOfAll(long now) {
        return creditSeconds >= 0 && longestWaitNanoseconds(now) > waitBeforeAllNanoseconds;
    }

    /**
     * Returns whether the class is overdue and has the credit to go ahead of the next more urgent one now. Resets the
     * credit if the class is not overdue.
     */
    boolean isAheadOfNext(long now) {
        if (longestWaitNanoseconds(now) <= waitBeforeNextNanoseconds) {
            creditSeconds = 0;
            return false;
        }
        return creditSeconds >= 0;
    }

    /** Returns how long the oldest waiting submission has waited, 0 for a class that never goes ahead. */
    private long longestWaitNanoseconds(long now) {
        long longest = 0;
        if (waitBeforeNextNanoseconds == Long.MAX_VALUE && waitBeforeAllNanoseconds == Long.MAX_VALUE) {
            return longest;
        }
        for (KindQueue kindQueue : kindQueues) {
            longest = Math.max(longest, now - kindQueue.oldestWaitingSince());
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
