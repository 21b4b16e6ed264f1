package io.caperturn.core.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Time-outs and limits of an {@link EntryMachine}.
 *
 * @param answerRetention the time for which an answer is kept for resubmissions
 * @param maximumAnswerBytes the maximum total size of the kept answers, in bytes
 * @param doubtTimeout the time after which an attempt in doubt (at a sidecar whose link was lost) is abandoned with an
 *     unknown outcome
 * @param maximumAttempts the maximum number of attempts of one task, including those that did not start
 * @param retryAfter the delay before a client may retry after a refusal that has no better estimate
 * @param adoptionTimeout the time for which an entry that adopts a submission of a lost owner waits for the reports of
 *     the owner's sidecars
 * @param adoptionReach the maximum age of a claim that may be adopted; shorter than the time for which every sidecar's
 *     ledger keeps attempts
 * @param retryRatio the number of retries allowed for each first attempt of a task, between 0 and 1
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
    /** Default time-outs and limits. */
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
     * Returns a copy with another retention of answers.
     *
     * @param retention the time for which an answer is kept for resubmissions
     * @param bytes the maximum total size of the kept answers, in bytes
     * @return the changed copy
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
