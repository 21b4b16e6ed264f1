package io.caperturn.core.schedule;

/** Lanes of one urgency, and the share that they get when they wait for too long behind more urgent work. */
final class UrgencyClass {
    private static final double MAXIMUM_CREDIT_SECONDS = 5;

    private final long softWait;
    private final long hardWait;
    private final FairQueue<Lane> lanes = new FairQueue<>();
    private double creditSeconds;

    /**
     * Creates the class; the largest value stands for work that never goes before other.
     *
     * @param softWait after which wait in nanoseconds it goes before the next more urgent class, within its share
     * @param hardWait after which wait in nanoseconds it goes before every class, within its share
     */
    UrgencyClass(long softWait, long hardWait) {
        this.softWait = softWait;
        this.hardWait = hardWait;
    }

    FairQueue<Lane> lanes() {
        return lanes;
    }

    /** Tells whether the class goes before every other now. */
    boolean isDueBeforeAll(long now) {
        return creditSeconds >= 0 && longestWait(now) > hardWait;
    }

    /** Tells whether the class goes before the next more urgent one now. */
    boolean isDueBeforeNext(long now) {
        if (longestWait(now) <= softWait) {
            creditSeconds = 0;
            return false;
        }
        return creditSeconds >= 0;
    }

    private long longestWait(long now) {
        long longest = 0;
        if (softWait == Long.MAX_VALUE && hardWait == Long.MAX_VALUE) {
            return longest;
        }
        for (Lane lane : lanes) {
            longest = Math.max(longest, now - lane.oldest());
        }
        return longest;
    }

    void credit(double seconds) {
        creditSeconds = Math.min(MAXIMUM_CREDIT_SECONDS, creditSeconds + seconds);
    }

    void spend(double seconds) {
        creditSeconds -= seconds;
    }
}
