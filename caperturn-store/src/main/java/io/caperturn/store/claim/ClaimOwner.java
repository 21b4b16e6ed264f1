package io.caperturn.store.claim;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;

/**
 * Entry in whose name claims are written.
 *
 * @param process its identity
 * @param linkAddress where other entries reach it, {@code host:port}
 */
public record ClaimOwner(ProcessId process, String linkAddress) {
    /** Checks that both parts are present. */
    public ClaimOwner {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
