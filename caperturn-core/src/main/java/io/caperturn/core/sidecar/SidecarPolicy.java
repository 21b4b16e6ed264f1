package io.caperturn.core.sidecar;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds that a {@link SidecarMachine} keeps to.
 *
 * @param announcementTimeout silence after which the upstream gets no new work
 * @param queuedPerSlot how many attempts may wait for each slot, at least 0
 * @param ledgerReach how long ended attempts are remembered; dispatches of older claims are refused
 * @param maximumLines the most lines that the ledger holds before it refuses new work
 * @param maximumResultBytes the most bytes of results that the ledger holds
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
            throw new IllegalArgumentException("bounds must not be negative, and the ledger must hold a line");
        }
    }
}
