package io.caperturn.store.claim;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;

/**
 * Entry (a process that accepts submissions) that owns the claims of a {@link ClaimWriter}; each claim gives it the
 * right to run one submission.
 *
 * @param process the identity of the entry's process
 * @param linkAddress the address on which the entry accepts connections of other processes, {@code host:port}
 */
public record ClaimOwner(ProcessId process, String linkAddress) {
    /** Checks that no component is null. */
    public ClaimOwner {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
