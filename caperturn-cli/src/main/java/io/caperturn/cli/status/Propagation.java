package io.caperturn.cli.status;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Table version in force at each process that entries know.
 *
 * @param versions the highest version that was told of each process, by role and name
 * @param failures entries that did not tell, one line each
 */
public record Propagation(SortedMap<String, Long> versions, List<String> failures) {
    /** Copies the collections. */
    public Propagation {
        versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
        failures = List.copyOf(failures);
    }

    /**
     * Asks entries.
     *
     * @param client the way to entries
     * @param entries the addresses of the entries, {@code host:port}
     * @return what they know together
     */
    public static Propagation ask(StatusClient client, List<String> entries) {
        SortedMap<String, Long> versions = new TreeMap<>();
        List<String> failures = new ArrayList<>();
        for (String entry : entries) {
            switch (client.ask(entry)) {
                case StatusClient.Reply.Failed(String cause) -> failures.add(entry + ": " + cause);
                case StatusClient.Reply.Told told -> add(told.status(), versions);
            }
        }
        return new Propagation(versions, failures);
    }

    /**
     * Counts the processes at which a version is in force.
     *
     * @param version the version
     * @return the number
     */
    public long inForce(long version) {
        return versions.values().stream().filter(known -> known >= version).count();
    }

    /**
     * Tells whether a version is in force at every process, and every entry told.
     *
     * @param version the version
     * @return true if so
     */
    public boolean isComplete(long version) {
        return failures.isEmpty() && inForce(version) == versions.size();
    }

    /**
     * Lists what is behind a version.
     *
     * @param version the version
     * @return one line for each process that is behind and each entry that did not tell
     */
    public List<String> behind(long version) {
        List<String> behind = new ArrayList<>(failures);
        for (Map.Entry<String, Long> process : versions.entrySet()) {
            if (process.getValue() < version) {
                behind.add(process.getKey() + " at version " + process.getValue());
            }
        }
        return behind;
    }

    private static void add(SystemStatus status, Map<String, Long> versions) {
        merge(versions, "entry " + status.entry(), status.tableVersion());
        status.entries().forEach(peer -> merge(versions, "entry " + peer.name(), peer.tableVersion()));
        status.sidecars().forEach(sidecar -> merge(versions, "sidecar " + sidecar.name(), sidecar.tableVersion()));
    }

    private static void merge(Map<String, Long> versions, String process, Long version) {
        if (version != null) {
            versions.merge(process, version, Math::max);
        }
    }
}
