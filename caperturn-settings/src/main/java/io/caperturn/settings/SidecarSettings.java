package io.caperturn.settings;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Settings of a sidecar.
 *
 * @param name the process's name, unique in the system
 * @param availabilityZone the availability zone that it runs in
 * @param announceAddress where the upstream announces itself and operators read health, {@code host:port}; port 0 for
 *     any
 * @param entrySeeds link addresses of entries known beforehand, {@code host:port}, at least one
 * @param upstream how the upstream is treated
 * @param ledger bounds of the ledger of starts
 * @param links times of links
 * @param drainTimeoutMilliseconds longest wait for running tasks at a planned stop
 */
public record SidecarSettings(
        String name,
        String availabilityZone,
        String announceAddress,
        List<String> entrySeeds,
        UpstreamTreatment upstream,
        LedgerBounds ledger,
        LinkTimes links,
        int drainTimeoutMilliseconds)
        implements Settings {
    /** Longest drain where the settings give none. */
    public static final int DEFAULT_DRAIN_TIMEOUT_MILLISECONDS = 30_000;

    /** Checks what must be present and fills in defaults. */
    public SidecarSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(announceAddress, "announceAddress");
        entrySeeds = List.copyOf(entrySeeds);
        upstream = upstream == null ? UpstreamTreatment.DEFAULT : upstream;
        ledger = ledger == null ? LedgerBounds.DEFAULT : ledger;
        links = links == null ? LinkTimes.DEFAULT : links;
        drainTimeoutMilliseconds =
                drainTimeoutMilliseconds == 0 ? DEFAULT_DRAIN_TIMEOUT_MILLISECONDS : drainTimeoutMilliseconds;
    }

    /**
     * How the upstream is treated.
     *
     * @param announcementTimeoutMilliseconds silence after which the upstream gets no new work
     * @param notStartedStatuses HTTP statuses by which the upstream proves that it did not start a task
     * @param queuedPerSlot how many tasks may wait here for each slot
     * @param connectionIdleMilliseconds how long an idle connection may be used again
     */
    public record UpstreamTreatment(
            int announcementTimeoutMilliseconds,
            Set<Integer> notStartedStatuses,
            int queuedPerSlot,
            int connectionIdleMilliseconds) {
        /** The treatment where the settings give none. */
        public static final UpstreamTreatment DEFAULT = new UpstreamTreatment(3_000, Set.of(), 1, 15_000);

        /** Copies the statuses. */
        public UpstreamTreatment {
            notStartedStatuses = notStartedStatuses == null ? Set.of() : Set.copyOf(notStartedStatuses);
        }
    }

    /**
     * Bounds of the ledger of starts.
     *
     * @param reachMilliseconds how long ended attempts are remembered; dispatches of older claims are refused
     * @param maximumLines the most lines kept
     * @param maximumResultBytes the most bytes of results kept
     */
    public record LedgerBounds(long reachMilliseconds, int maximumLines, long maximumResultBytes) {
        /** The bounds where the settings give none. */
        public static final LedgerBounds DEFAULT = new LedgerBounds(600_000, 200_000, 32L * 1024 * 1024);
    }
}
