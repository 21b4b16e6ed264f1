package io.caperturn.store.claim;

import java.time.Duration;
import java.util.Objects;

/**
 * How claims are written.
 *
 * @param batchInterval least time between the begins of two transactions, in which claims gather; zero for none
 * @param timeout longest time that a claim whose fate is unknown is tried again
 * @param maximumBatch most claims in one transaction, at least 1
 * @param expiry how long a claim is in force
 * @param ringCapacity most claims waiting for the writer, at least 2
 */
public record ClaimPolicy(
        Duration batchInterval, Duration timeout, int maximumBatch, Duration expiry, int ringCapacity) {
    /** Checks the ranges. */
    public ClaimPolicy {
        Objects.requireNonNull(batchInterval, "batchInterval");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(expiry, "expiry");
        if (batchInterval.isNegative() || !timeout.isPositive() || !expiry.isPositive()) {
            throw new IllegalArgumentException("interval must not be negative, timeout and expiry positive");
        }
        if (maximumBatch < 1 || ringCapacity < 2) {
            throw new IllegalArgumentException("maximumBatch must be >= 1 and ringCapacity >= 2");
        }
    }
}
