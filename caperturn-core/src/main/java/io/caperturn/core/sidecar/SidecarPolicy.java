package io.caperturn.core.sidecar;

import java.time.Duration;
import java.util.Objects;

/**
 * Time-outs and limits of a {@link SidecarMachine} and of its ledger, the record of the attempts to run tasks.
 *
 * <p>A claim is the exclusive right of an entry (a process that accepts submissions) to run a submission.
 *
 * @param announcementTimeout the time since the last announcement of the upstream after which it gets no new work
 * @param maximumQueuedPerSlot the maximum number of queued attempts for each slot (concurrent run) of the upstream, at
 *     least 0
 * @param ledgerRetention the time for which the ledger keeps finished attempts; attempts under a claim older than that
 *     are refused
 * @param maximumLedgerLines the number of lines in the ledger (attempts, and submissions whose former owner is refused)
 *     from which new work is refused, at least 1
 * @param maximumResultBytes the maximum total size of the results in the ledger, in bytes, at least 0
 */
public record SidecarPolicy(
        Duration announcementTimeout,
        int maximumQueuedPerSlot,
        Duration ledgerRetention,
        int maximumLedgerLines,
        long maximumResultBytes) {
    /** Checks that no component is null or out of its range. */
    public SidecarPolicy {
        Objects.requireNonNull(announcementTimeout, "announcementTimeout");
        Objects.requireNonNull(ledgerRetention, "ledgerRetention");
        if (announcementTimeout.isNegative() || announcementTimeout.isZero()) {
            throw new IllegalArgumentException("announcementTimeout must be positive");
        }
        if (ledgerRetention.isNegative() || ledgerRetention.isZero()) {
            throw new IllegalArgumentException("ledgerRetention must be positive");
        }
        if (maximumQueuedPerSlot < 0 || maximumLedgerLines < 1 || maximumResultBytes < 0) {
            throw new IllegalArgumentException(
                    "maximumQueuedPerSlot and maximumResultBytes must be >= 0, and maximumLedgerLines >= 1");
        }
    }
}
