package io.caperturn.store.internal;

import io.caperturn.store.RowKey;
import java.util.Objects;

/**
 * Value of a row in the store's table {@code entries}: one registered entry (a process that accepts submissions).
 *
 * @param process the identity of the entry's process
 * @param linkAddress the address on which the entry accepts connections of other processes, {@code host:port}
 * @param availabilityZone the availability zone that the entry runs in
 * @param renewal the number of times that the entry has renewed its row, which shows that it runs
 */
public record MemberRow(StoredProcessId process, String linkAddress, String availabilityZone, long renewal) {
    /** Name of the store's table of entries. */
    public static final String TABLE = "entries";

    /** Key of the row with the membership's version, which is raised whenever an entry joins or is removed. */
    public static final RowKey VERSION_KEY = new RowKey("versions", TABLE);

    /** Checks that no component is null. */
    public MemberRow {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
    }

    /**
     * Value of the row with the membership's version.
     *
     * @param version the version
     */
    public record VersionValue(long version) {}
}
