package io.caperturn.core.schedule;

import java.util.Iterator;

/** Lanes of one urgency, and the share that they get when they wait for too long behind more urgent work. */
final class UrgencyClass {
    private static final double MAXIMUM_CREDIT_SECONDS = 5;

    private final long maximumWait;
    private final FairQueue<Lane> lanes = new FairQueue<>();
    private double creditSeconds;

    /** Creates the class; the wait is in nanoseconds, the largest value stands for work that is never overdue. */
    UrgencyClass(long maximumWait) {
        this.maximumWait = maximumWait;
    }

    FairQueue<Lane> lanes() {
        return lanes;
    }

    boolean isOverdue(long now) {
        if (maximumWait == Long.MAX_VALUE || lanes.isEmpty()) {
            return false;
        }
        for (Iterator<Lane> all = lanes.iterator(); all.hasNext(); ) {
            if (now - all.next().oldest() > maximumWait) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether the class goes before more urgent ones. */
    boolean isDue(long now) {
        if (!isOverdue(now)) {
            creditSeconds = 0;
            return false;
        }
        return creditSeconds >= 0;
    }

    void credit(double seconds) {
        creditSeconds = Math.min(MAXIMUM_CREDIT_SECONDS, creditSeconds + seconds);
    }

    void spend(double seconds) {
        creditSeconds -= seconds;
    }
}
