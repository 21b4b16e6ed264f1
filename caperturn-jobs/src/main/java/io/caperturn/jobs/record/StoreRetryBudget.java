package io.caperturn.jobs.record;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.SplittableRandom;

/**
 * Budget of one process for repeated calls of the store: a token bucket that every retry draws on, so that an outage
 * costs the store a bounded number of calls a second from each process, whatever the process was doing.
 */
public final class StoreRetryBudget {
    /** Number of retries that may follow one another without a wait for the budget. */
    static final int CAPACITY_TOKENS = 10;
    /** Time after which a token is added, in milliseconds. */
    static final long TOKEN_INTERVAL_MILLISECONDS = 250;

    private final DecisionLoop loop;
    private final SplittableRandom random;
    /** When the bucket was or will be full, in milliseconds of the loop's clock. */
    private long fullAt = Long.MIN_VALUE / 2;

    private boolean exhausted;

    /**
     * Creates a full budget.
     *
     * @param loop the loop on which all calls are made
     * @param incarnation name of this start of the process; makes its delays differ from those of other processes
     */
    public StoreRetryBudget(DecisionLoop loop, String incarnation) {
        this.loop = loop;
        this.random = new SplittableRandom(incarnation.hashCode());
    }

    /**
     * Returns a back-off whose jitter comes from this process's random source.
     *
     * @param firstLimitMilliseconds limit of the first delay, in milliseconds
     * @param lastLimitMilliseconds limit of every delay, in milliseconds
     * @return the back-off
     */
    public RetryBackoff newBackoff(long firstLimitMilliseconds, long lastLimitMilliseconds) {
        return new RetryBackoff(random, firstLimitMilliseconds, lastLimitMilliseconds);
    }

    /**
     * Repeats a call after a delay, and no earlier than the budget allows.
     *
     * @param backoff the delays of this call
     * @param action the call
     */
    public void retry(RetryBackoff backoff, Runnable action) {
        long delay = backoff.nextDelayMilliseconds();
        long wait = takeToken();
        loop.log().count("store-retry");
        loop.after(Math.max(delay, wait), action);
    }

    /**
     * Takes a token for a retry that is to be made now.
     *
     * @return false if there is none, and the retry must not be made
     */
    public boolean tryTake() {
        if (waitMilliseconds() > 0) {
            recordExhausted();
            return false;
        }
        takeToken();
        loop.log().count("store-retry");
        return true;
    }

    /** Takes a token, possibly one to be added later; returns the time until it is there, in milliseconds. */
    private long takeToken() {
        long wait = waitMilliseconds();
        long now = loop.monotonicMilliseconds();
        if (fullAt <= now) {
            exhausted = false;
        }
        fullAt = Math.max(fullAt, now) + TOKEN_INTERVAL_MILLISECONDS;
        if (wait > 0) {
            recordExhausted();
        }
        return wait;
    }

    private long waitMilliseconds() {
        long emptyAt = (CAPACITY_TOKENS - 1) * TOKEN_INTERVAL_MILLISECONDS;
        return Math.max(0, fullAt - loop.monotonicMilliseconds() - emptyAt);
    }

    /** Counts a retry that has to wait; the first one since the bucket was full is logged. */
    private void recordExhausted() {
        loop.log().count("store-budget-exhausted");
        if (!exhausted) {
            exhausted = true;
            loop.log().event(EventName.STORE_RETRIES_LIMITED, EventKey.WAITED, waitMilliseconds());
        }
    }
}
