package io.caperturn.proofs.promise;

/**
 * Fault that a test injects, always into the first entry, sidecar or upstream or into the store.
 *
 * <p>A link is the connection between an entry (a process that accepts submissions) and a sidecar (the process next to
 * an upstream).
 */
enum Fault {
    ENTRY_KILLED(true),
    ENTRY_PAUSED(true),
    SIDECAR_KILLED(false),
    SIDECAR_PAUSED(false),
    UPSTREAM_KILLED(false),
    UPSTREAM_FAILS_ALL(false),
    UPSTREAM_RESETS(false),
    LINK_CUT(false),
    LINK_SILENT(false),
    LINK_TO_ENTRY_ONLY(false),
    LINK_TO_SIDECAR_ONLY(false),
    UPSTREAM_CONNECTIONS_CUT(false),
    UPSTREAM_CONNECTIONS_SILENT(false),
    CLIENT_CUT(true),
    CLIENT_SILENT(true),
    STORE_DOWN(false),
    STORE_SILENT(false),
    STORE_SLOW(false),
    STORE_REPLY_LOST(false);

    private final boolean clientIsCutOff;

    Fault(boolean clientIsCutOff) {
        this.clientIsCutOff = clientIsCutOff;
    }

    /** Returns whether requests in progress at the first entry may end without a response. */
    boolean cutsClientOff() {
        return clientIsCutOff;
    }
}
