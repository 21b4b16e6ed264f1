package io.caperturn.wire;

import io.caperturn.core.model.ProcessId;
import io.caperturn.wire.message.Role;
import java.util.Objects;

/**
 * Process at one end of a link (connection between processes), as its hello frame, the first on the link, identifies
 * it.
 *
 * @param process the identity of the process
 * @param role the role of the process
 * @param availabilityZone the availability zone of the process
 * @param linkAddress the address on which the process accepts links, {@code host:port}; empty if it accepts none
 */
public record Peer(ProcessId process, Role role, String availabilityZone, String linkAddress) {
    /** Checks that no component is null. */
    public Peer {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
