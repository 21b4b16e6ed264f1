package io.caperturn.cli.status;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Versions of the operators' table of weights and limits that entry and sidecar processes use, as the queried entry
 * processes report them.
 *
 * @param versions the highest reported version of each process, by {@code ROLE NAME}, such as {@code entry entry-1}
 * @param failures the entry processes whose status could not be read, one line each
 */
public record TablePropagation(SortedMap<String, Long> versions, List<String> failures) {
    /** Copies the collections. */
    public TablePropagation {
        versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
        failures = List.copyOf(failures);
    }

    /**
     * Queries the status of entries and merges the versions that they report.
     *
     * @param client the client
     * @param entryAddresses the addresses of the entry processes, {@code host:port}
     * @return the merged versions
     */
    public static TablePropagation query(StatusClient client, List<String> entryAddresses) {
        SortedMap<String, Long> versions = new TreeMap<>();
        List<String> failures = new ArrayList<>();
        for (String entry : entryAddresses) {
            switch (client.fetch(entry)) {
                case StatusClient.StatusResult.Failed(String cause) -> failures.add(entry + ": " + cause);
                case StatusClient.StatusResult.Received received -> addVersions(received.status(), versions);
            }
        }
        return new TablePropagation(versions, failures);
    }

    /**
     * Returns the number of processes at which a version or a later one is in force.
     *
     * @param version the version
     * @return the number of processes
     */
    public long countInForce(long version) {
        return versions.values().stream()
                .filter(versionInForce -> versionInForce >= version)
                .count();
    }

    /**
     * Returns whether every entry responded and the version or a later one is in force at every process.
     *
     * @param version the version
     * @return true if so
     */
    public boolean isInForceEverywhere(long version) {
        return failures.isEmpty() && countInForce(version) == versions.size();
    }

    /**
     * Describes the processes at which an older version is in force.
     *
     * @param version the version
     * @return one line for each such process, and one for each entry whose status could not be read
     */
    public List<String> describeOutdated(long version) {
        List<String> lines = new ArrayList<>(failures);
        for (Map.Entry<String, Long> process : versions.entrySet()) {
            if (process.getValue() < version) {
                lines.add(process.getKey() + " at version " + process.getValue());
            }
        }
        return lines;
    }

    private static void addVersions(SystemStatus status, Map<String, Long> versions) {
        mergeVersion(versions, "entry " + status.entry(), status.tableVersion());
        status.entries().forEach(peer -> mergeVersion(versions, "entry " + peer.name(), peer.tableVersion()));
        status.sidecars()
                .forEach(sidecar -> mergeVersion(versions, "sidecar " + sidecar.name(), sidecar.tableVersion()));
    }

    private static void mergeVersion(Map<String, Long> versions, String process, Long version) {
        if (version != null) {
            versions.merge(process, version, Math::max);
        }
    }
}
