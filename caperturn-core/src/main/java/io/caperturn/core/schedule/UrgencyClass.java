package io.caperturn.core.schedule;

/**
 * Queues of waiting tasks of one urgency, with a credit of slot time that these tasks may use ahead of more urgent
 * ones.
 *
 * <p>A class whose tasks have waited too long is overdue. It earns credit when more urgent tasks are placed and spends
 * it when its own tasks are placed ahead of them. Times of type long are in nanoseconds since the epoch.
 */
final class UrgencyClass {
    /** Limits the slot time that a class can use at once after it has used none of its credit for a long time. */
    private static final double MAXIMUM_CREDIT_SECONDS = 5;

    private final long waitBeforeNextNanoseconds;
    private final long waitBeforeAllNanoseconds;
    private final FairQueue<KindQueue> kindQueues = new FairQueue<>();
    private double creditSeconds;

    /**
     * Creates a class without tasks. A wait of {@link Long#MAX_VALUE} means that the class never goes ahead.
     *
     * @param waitBeforeNextNanoseconds the wait after which the class may go ahead of the next more urgent class
     * @param waitBeforeAllNanoseconds the wait after which the class may go ahead of every other class
     */
    UrgencyClass(long waitBeforeNextNanoseconds, long waitBeforeAllNanoseconds) {
        this.waitBeforeNextNanoseconds = waitBeforeNextNanoseconds;
        this.waitBeforeAllNanoseconds = waitBeforeAllNanoseconds;
    }

    FairQueue<KindQueue> kindQueues() {
        return kindQueues;
    }

    /** Returns whether the class has waited long enough and has the credit to go ahead of every other class now. */
    boolean isAllowedAheadOfAllClasses(long now) {
        return creditSeconds >= 0 && longestWaitNanoseconds(now) > waitBeforeAllNanoseconds;
    }

    /**
     * Returns whether the class has waited long enough and has the credit to go ahead of the next more urgent class
     * now. Resets the credit if the class has not waited long enough.
     */
    boolean isAllowedAheadOfNextClass(long now) {
        if (longestWaitNanoseconds(now) <= waitBeforeNextNanoseconds) {
            creditSeconds = 0;
            return false;
        }
        return creditSeconds >= 0;
    }

    /** Returns how long the oldest waiting submission has waited, 0 for a class that never goes ahead of others. */
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
