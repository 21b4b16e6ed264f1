package io.caperturn.core.model;

import java.util.Objects;
import java.util.Set;

/**
 * Description of an upstream, as announced by it.
 *
 * @param name the upstream's name
 * @param kinds the kinds of work that it serves
 * @param slots the number of tasks that it runs at once, at least 1
 * @param connections the number of connections that it accepts at once, at least 1
 * @param worker the worker node that it runs on
 * @param rack the rack of the worker
 * @param availabilityZone the availability zone of the worker
 */
public record UpstreamDescription(
        String name,
        Set<String> kinds,
        int slots,
        int connections,
        String worker,
        String rack,
        String availabilityZone) {
    /** Copies the kinds, and checks that no component is null and that the numbers are within their ranges. */
    public UpstreamDescription {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        kinds = Set.copyOf(kinds);
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
    }
}
