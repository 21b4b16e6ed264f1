package io.caperturn.core.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Time-outs and limits of an {@link EntryMachine}.
 *
 * <p>A claim is the durable record that makes one entry process the owner of a submission. A sidecar is the process
 * that starts tasks at an upstream and records their attempts in its ledger.
 *
 * @param answerRetention the time for which an answer is kept for resubmissions
 * @param maximumAnswerBytes the maximum total size of the kept answers, in bytes
 * @param sidecarReconnectTimeout the time for which a sidecar may be disconnected; after it, its attempts are abandoned
 *     with an unknown outcome
 * @param maximumAttempts the maximum number of attempts of one task, including those that did not start
 * @param defaultRetryAfter the delay that a client is asked to wait after a refusal that has no better estimate
 * @param adoptionTimeout the time for which an entry that adopts a submission (replaces the claim of an owner that
 *     can't be reached) waits for the reports of the sidecars to which the owner could have dispatched
 * @param maximumAdoptableClaimAge the maximum age of a claim that is adopted; shorter than the time for which every
 *     sidecar's ledger keeps attempts
 * @param retriesPerFirstAttempt the number of retries that each first attempt of a task adds to the retry budget,
 *     between 0 and 1
 */
public record EntryPolicy(
        Duration answerRetention,
        long maximumAnswerBytes,
        Duration sidecarReconnectTimeout,
        int maximumAttempts,
        Duration defaultRetryAfter,
        Duration adoptionTimeout,
        Duration maximumAdoptableClaimAge,
        double retriesPerFirstAttempt) {
    /** Default time-outs and limits. */
    public static final EntryPolicy DEFAULT = new EntryPolicy(
            /* answerRetention= */ Duration.ofMinutes(10),
            /* maximumAnswerBytes= */ 64L * 1024 * 1024,
            /* sidecarReconnectTimeout= */ Duration.ofSeconds(5),
            /* maximumAttempts= */ 20,
            /* defaultRetryAfter= */ Duration.ofSeconds(1),
            /* adoptionTimeout= */ Duration.ofSeconds(3),
            /* maximumAdoptableClaimAge= */ Duration.ofMinutes(8),
            /* retriesPerFirstAttempt= */ 0.1);

    /** Checks that no duration is null and that the attempts and retries are within their ranges. */
    public EntryPolicy {
        Objects.requireNonNull(answerRetention, "answerRetention");
        Objects.requireNonNull(sidecarReconnectTimeout, "sidecarReconnectTimeout");
        Objects.requireNonNull(defaultRetryAfter, "defaultRetryAfter");
        Objects.requireNonNull(adoptionTimeout, "adoptionTimeout");
        Objects.requireNonNull(maximumAdoptableClaimAge, "maximumAdoptableClaimAge");
        if (maximumAttempts < 1 || retriesPerFirstAttempt < 0 || retriesPerFirstAttempt > 1) {
            throw new IllegalArgumentException("maximumAttempts must be >= 1 and retriesPerFirstAttempt within [0, 1]");
        }
    }

    /**
     * Returns a copy that keeps answers for another time and up to another size.
     *
     * @param retention the time for which an answer is kept for resubmissions
     * @param bytes the maximum total size of the kept answers, in bytes
     * @return the changed copy
     */
    public EntryPolicy withAnswerRetention(Duration retention, long bytes) {
        return new EntryPolicy(
                retention,
                bytes,
                sidecarReconnectTimeout,
                maximumAttempts,
                defaultRetryAfter,
                adoptionTimeout,
                maximumAdoptableClaimAge,
                retriesPerFirstAttempt);
    }
}
