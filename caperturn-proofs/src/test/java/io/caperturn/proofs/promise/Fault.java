package io.caperturn.proofs.promise;

/**
 * Fault that a test injects into the store, the first entry (a process that accepts submissions), the first sidecar,
 * its upstream or their connections.
 *
 * <p>A link connects an entry and a sidecar. A cut closes connections. A silent connection stays open but carries no
 * bytes, or only those to one side. An upstream that resets closes the connection of each task. A store that loses
 * replies applies writes without a response.
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

    private final boolean cutsClientOff;

    Fault(boolean cutsClientOff) {
        this.cutsClientOff = cutsClientOff;
    }

    /** Returns whether requests in progress at the first entry can end without a response. */
    boolean cutsClientOff() {
        return cutsClientOff;
    }
}
