package io.caperturn.store.claim;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and bounds of the {@link ClaimWriter}; a claim is a row that gives one entry process the right to run a
 * submission.
 *
 * @param batchInterval the minimum time between the starts of two transactions, during which claims are collected; zero
 *     for none
 * @param timeout the time after the request of a claim during which the writer tries to write it
 * @param maximumBatch the maximum number of claims in one transaction, at least 1
 * @param lifetime the time from the write of a claim to its expiry
 * @param queueCapacity the capacity of the queue of claims that wait for the writer's thread, at least 2
 */
public record ClaimPolicy(
        Duration batchInterval, Duration timeout, int maximumBatch, Duration lifetime, int queueCapacity) {
    /** Checks that no component is null or out of its range. */
    public ClaimPolicy {
        Objects.requireNonNull(batchInterval, "batchInterval");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(lifetime, "lifetime");
        if (batchInterval.isNegative() || !timeout.isPositive() || !lifetime.isPositive()) {
            throw new IllegalArgumentException(
                    "batchInterval must not be negative; timeout and lifetime must be positive");
        }
        if (maximumBatch < 1 || queueCapacity < 2) {
            throw new IllegalArgumentException("maximumBatch must be >= 1 and queueCapacity >= 2");
        }
    }
}
