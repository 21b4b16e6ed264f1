package io.caperturn.core.sidecar;

/**
 * How much a {@link SidecarMachine} holds at one moment.
 *
 * @param running attempts handed to the upstream that have not ended
 * @param queued attempts that wait for a slot
 * @param ledgerLines lines and fences in the ledger
 * @param resultBytes bytes of results in the ledger
 * @param serving whether new work is accepted
 */
public record SidecarLoad(int running, int queued, int ledgerLines, long resultBytes, boolean serving) {}
