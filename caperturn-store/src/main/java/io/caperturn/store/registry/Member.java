package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;

/**
 * An entry that is registered in the store.
 *
 * @param process its identity, by incarnation
 * @param linkAddress where it accepts links, {@code host:port}
 * @param availabilityZone where it runs
 * @param renewal how often it renewed its lease; a number that stays the same shows that it is gone or paused
 */
public record Member(ProcessId process, String linkAddress, String availabilityZone, long renewal) {
    /** Checks that all parts are present. */
    public Member {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
    }
}
