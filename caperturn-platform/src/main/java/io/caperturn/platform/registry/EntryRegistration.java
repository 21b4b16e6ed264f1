package io.caperturn.platform.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.platform.internal.EntryRow;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What an entry registers about itself.
 *
 * @param process its identity
 * @param linkAddress where it accepts links, {@code host:port}
 * @param availabilityZone where it runs
 * @param sidecars the sidecars that it may send work to
 * @param draining true once a planned stop began
 */
public record EntryRegistration(
        ProcessId process, String linkAddress, String availabilityZone, Set<ProcessId> sidecars, boolean draining) {
    /** Copies the sidecars and checks that all parts are present. */
    public EntryRegistration {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        sidecars = Set.copyOf(sidecars);
    }

    static EntryRegistration of(EntryRow row) {
        Set<ProcessId> sidecars =
                row.sidecars().stream().map(EntryRow.ProcessValue::toProcess).collect(Collectors.toSet());
        return new EntryRegistration(
                new ProcessId(row.name(), row.incarnation()),
                row.linkAddress(),
                row.availabilityZone(),
                sidecars,
                row.draining());
    }

    EntryRow toRow() {
        List<EntryRow.ProcessValue> values = sidecars.stream()
                .sorted(Comparator.comparing(ProcessId::name).thenComparingLong(ProcessId::incarnation))
                .map(EntryRow.ProcessValue::of)
                .toList();
        return new EntryRow(process.name(), process.incarnation(), linkAddress, availabilityZone, values, draining);
    }
}
