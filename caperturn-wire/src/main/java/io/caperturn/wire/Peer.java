package io.caperturn.wire;

import io.caperturn.core.model.ProcessId;
import io.caperturn.wire.message.Role;
import java.util.Objects;

/**
 * Who is at the other end of a link.
 *
 * @param process its identity, by incarnation
 * @param role its role
 * @param availabilityZone its availability zone
 * @param linkAddress the address under which it accepts links, {@code host:port}, empty if it accepts none
 */
public record Peer(ProcessId process, Role role, String availabilityZone, String linkAddress) {
    /** Checks that all parts are present. */
    public Peer {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
