package io.caperturn.settings;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Settings of a sidecar, the process that runs beside an upstream and passes tasks from entries to it.
 *
 * @param name the name of the process, unique in the system
 * @param availabilityZone the availability zone that the process runs in
 * @param announceAddress the address on which the sidecar receives the upstream's announcements (descriptions of
 *     itself) and serves its health to operators, {@code host:port}; port 0 for any free port
 * @param entrySeeds the link addresses of the entries to connect to first, {@code host:port}, at least one
 * @param upstream times and bounds of calls to the upstream
 * @param ledger bounds of the record of started attempts to run a task
 * @param links times of links, the connections between processes
 * @param drainTimeoutMilliseconds the maximum wait for running tasks at a planned stop
 */
public record SidecarSettings(
        String name,
        String availabilityZone,
        String announceAddress,
        List<String> entrySeeds,
        UpstreamSettings upstream,
        LedgerBounds ledger,
        LinkTimeSettings links,
        int drainTimeoutMilliseconds)
        implements Settings {
    /** Default drain time-out, in milliseconds. */
    public static final int DEFAULT_DRAIN_TIMEOUT_MILLISECONDS = 30_000;

    /** Checks that the required values are not null, and fills in defaults. */
    public SidecarSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(announceAddress, "announceAddress");
        entrySeeds = List.copyOf(entrySeeds);
        upstream = upstream == null ? UpstreamSettings.DEFAULT : upstream;
        ledger = ledger == null ? LedgerBounds.DEFAULT : ledger;
        links = links == null ? LinkTimeSettings.DEFAULT : links;
        // A number that is absent from the JSON is bound as 0.
        drainTimeoutMilliseconds =
                drainTimeoutMilliseconds == 0 ? DEFAULT_DRAIN_TIMEOUT_MILLISECONDS : drainTimeoutMilliseconds;
    }

    /**
     * Times and bounds of calls to the upstream.
     *
     * @param announcementTimeoutMilliseconds the time without an announcement after which the upstream gets no new work
     * @param notStartedStatuses the HTTP status codes that prove that the upstream did not start the task
     * @param queuedPerSlot the maximum number of tasks waiting in the sidecar for each slot, that is, for each task
     *     that the upstream can run at once
     * @param connectionIdleMilliseconds the idle time after which a connection is not used again
     */
    public record UpstreamSettings(
            int announcementTimeoutMilliseconds,
            Set<Integer> notStartedStatuses,
            int queuedPerSlot,
            int connectionIdleMilliseconds) {
        /** Default times and bounds. */
        public static final UpstreamSettings DEFAULT = new UpstreamSettings(3_000, Set.of(), 1, 15_000);

        /** Copies the status codes. */
        public UpstreamSettings {
            notStartedStatuses = notStartedStatuses == null ? Set.of() : Set.copyOf(notStartedStatuses);
        }
    }

    /**
     * Bounds of the ledger, in which the sidecar records the attempts that it has started.
     *
     * @param reachMilliseconds the time for which finished attempts are kept; a task is refused if the entry claimed
     *     its submission longer ago
     * @param maximumLines the maximum number of attempts recorded, one a line
     * @param maximumResultBytes the maximum number of bytes of results kept
     */
    public record LedgerBounds(long reachMilliseconds, int maximumLines, long maximumResultBytes) {
        /** Default bounds. */
        public static final LedgerBounds DEFAULT = new LedgerBounds(600_000, 200_000, 32L * 1024 * 1024);
    }
}
