package io.caperturn.store.claim;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and bounds of the {@link ClaimWriter}.
 *
 * @param batchInterval the minimum time between the starts of two transactions, during which claims are collected; zero
 *     for none
 * @param timeout the time after the request of a claim during which the writer tries to write it
 * @param maximumBatch the maximum number of claims in one transaction, at least 1
 * @param expiry the lifetime of a claim, counted from its write
 * @param ringCapacity the capacity of the ring buffer that passes claims to the writer's thread, at least 2
 */
public record ClaimPolicy(
        Duration batchInterval, Duration timeout, int maximumBatch, Duration expiry, int ringCapacity) {
    /** Checks that no component is null or out of its range. */
    public ClaimPolicy {
        Objects.requireNonNull(batchInterval, "batchInterval");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(expiry, "expiry");
        if (batchInterval.isNegative() || !timeout.isPositive() || !expiry.isPositive()) {
            throw new IllegalArgumentException(
                    "batchInterval must not be negative; timeout and expiry must be positive");
        }
        if (maximumBatch < 1 || ringCapacity < 2) {
            throw new IllegalArgumentException("maximumBatch must be >= 1 and ringCapacity >= 2");
        }
    }
}
