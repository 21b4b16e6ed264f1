package io.caperturn.proofs.promise;

/** Failure that a test brings about; the part that fails is always the first of its sort. */
enum Fault {
    ENTRY_KILLED(true, false),
    ENTRY_PAUSED(true, false),
    SIDECAR_KILLED(false, false),
    SIDECAR_PAUSED(false, false),
    UPSTREAM_KILLED(false, false),
    UPSTREAM_FAILS_ALL(false, false),
    UPSTREAM_RESETS(false, false),
    LINK_CUT(false, false),
    LINK_SILENT(false, false),
    LINK_TO_ENTRY_ONLY(false, false),
    LINK_TO_SIDECAR_ONLY(false, false),
    UPSTREAM_CONNECTIONS_CUT(false, false),
    UPSTREAM_CONNECTIONS_SILENT(false, false),
    CLIENT_CUT(true, false),
    CLIENT_SILENT(true, false),
    STORE_DOWN(false, true),
    STORE_SILENT(false, true),
    STORE_SLOW(false, true),
    STORE_REPLY_LOST(false, true);

    private final boolean clientIsCutOff;
    private final boolean storeFails;

    Fault(boolean clientIsCutOff, boolean storeFails) {
        this.clientIsCutOff = clientIsCutOff;
        this.storeFails = storeFails;
    }

    /** Says whether requests in progress at the first entry may end without an answer. */
    boolean cutsClientOff() {
        return clientIsCutOff;
    }

    /** Says whether the fault is one of the platform's store. */
    boolean isOfStore() {
        return storeFails;
    }
}
