package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;

/**
 * Entry (a process that accepts submissions) that is registered in the store and renews its registration, the lease, at
 * intervals.
 *
 * @param process the identity of the entry's process
 * @param linkAddress the address on which the entry accepts connections of other processes, {@code host:port}
 * @param availabilityZone the availability zone that the entry runs in
 * @param renewalCount the number of renewals of the entry's lease; if it stays the same, the entry is gone or paused
 */
public record Member(ProcessId process, String linkAddress, String availabilityZone, long renewalCount) {
    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
    }
}
