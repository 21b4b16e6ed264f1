package io.caperturn.core.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds that an {@link EntryMachine} keeps to.
 *
 * @param answerRetention how long an answer is kept for resubmissions
 * @param maximumAnswerBytes most bytes of answers kept
 * @param doubtTimeout how long an attempt may stay in doubt before it counts as unknown for good
 * @param maximumAttempts most attempts of one task, those that did not start included
 * @param retryAfter when a client may come back after a refusal that carries no better estimate
 * @param adoptionTimeout how long an adopter waits for the ledgers of the sidecars that the lost owner could use
 * @param adoptionReach age of a claim beyond which it is not adopted; below the reach of every sidecar's ledger
 * @param retryRatio retries allowed for each first attempt of an idempotent request, between 0 and 1
 */
public record EntryPolicy(
        Duration answerRetention,
        long maximumAnswerBytes,
        Duration doubtTimeout,
        int maximumAttempts,
        Duration retryAfter,
        Duration adoptionTimeout,
        Duration adoptionReach,
        double retryRatio) {
    /** Bounds for ordinary use. */
    public static final EntryPolicy DEFAULT = new EntryPolicy(
            Duration.ofMinutes(10),
            64L * 1024 * 1024,
            Duration.ofSeconds(5),
            20,
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofMinutes(8),
            0.1);

    /** Checks the ranges. */
    public EntryPolicy {
        Objects.requireNonNull(answerRetention, "answerRetention");
        Objects.requireNonNull(doubtTimeout, "doubtTimeout");
        Objects.requireNonNull(retryAfter, "retryAfter");
        Objects.requireNonNull(adoptionTimeout, "adoptionTimeout");
        Objects.requireNonNull(adoptionReach, "adoptionReach");
        if (maximumAttempts < 1 || retryRatio < 0 || retryRatio > 1) {
            throw new IllegalArgumentException("maximumAttempts must be >= 1 and retryRatio within [0, 1]");
        }
    }

    /**
     * Returns the same bounds with another retention of answers.
     *
     * @param retention how long an answer is kept for resubmissions
     * @param bytes most bytes of answers kept
     * @return the changed bounds
     */
    public EntryPolicy withAnswerRetention(Duration retention, long bytes) {
        return new EntryPolicy(
                retention,
                bytes,
                doubtTimeout,
                maximumAttempts,
                retryAfter,
                adoptionTimeout,
                adoptionReach,
                retryRatio);
    }
}
