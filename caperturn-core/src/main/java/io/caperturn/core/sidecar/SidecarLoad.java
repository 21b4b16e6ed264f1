package io.caperturn.core.sidecar;

/**
 * Snapshot of the load of a {@link SidecarMachine}.
 *
 * @param running the number of attempts that were handed to the upstream and have not finished
 * @param queued the number of attempts that wait in the sidecar process for a free slot of the upstream
 * @param ledgerLines the number of lines in the ledger: attempts, and submissions whose former owner is refused
 * @param resultBytes the size of the results in the ledger, in bytes
 * @param serving whether new work is accepted
 */
public record SidecarLoad(int running, int queued, int ledgerLines, long resultBytes, boolean serving) {}
