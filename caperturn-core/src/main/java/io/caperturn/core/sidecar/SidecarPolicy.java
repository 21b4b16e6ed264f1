package io.caperturn.core.sidecar;

import java.time.Duration;
import java.util.Objects;

/**
 * Time-outs and limits of a {@link SidecarMachine} and of its ledger, the record of attempts.
 *
 * @param announcementTimeout the time without an announcement after which the upstream gets no new work
 * @param queuedPerSlot the maximum number of queued attempts for each slot, at least 0
 * @param ledgerReach the time for which the ledger keeps finished attempts; dispatches of older claims are refused
 * @param maximumLines the number of lines and fences in the ledger at which new work is refused
 * @param maximumResultBytes the maximum size of the results in the ledger, in bytes
 */
public record SidecarPolicy(
        Duration announcementTimeout,
        int queuedPerSlot,
        Duration ledgerReach,
        int maximumLines,
        long maximumResultBytes) {
    /** Checks the ranges. */
    public SidecarPolicy {
        Objects.requireNonNull(announcementTimeout, "announcementTimeout");
        Objects.requireNonNull(ledgerReach, "ledgerReach");
        if (announcementTimeout.isNegative() || announcementTimeout.isZero()) {
            throw new IllegalArgumentException("announcementTimeout must be positive");
        }
        if (ledgerReach.isNegative() || ledgerReach.isZero()) {
            throw new IllegalArgumentException("ledgerReach must be positive");
        }
        if (queuedPerSlot < 0 || maximumLines < 1 || maximumResultBytes < 0) {
            throw new IllegalArgumentException(
                    "bounds must not be negative, and the ledger must hold one line or more");
        }
    }
}
