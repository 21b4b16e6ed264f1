package io.caperturn.store.internal;

import io.caperturn.store.RowKey;
import java.util.Objects;

/**
 * Value of a row of the table {@code entries}.
 *
 * @param process the entry, by incarnation
 * @param linkAddress where it accepts links, {@code host:port}
 * @param availabilityZone where it runs
 * @param renewal how often its lease was renewed
 */
public record MemberRow(ProcessValue process, String linkAddress, String availabilityZone, long renewal) {
    /** Store's table of entries. */
    public static final String TABLE = "entries";

    /** Place of the membership's version, raised whenever an entry joins or is removed. */
    public static final RowKey VERSION_KEY = new RowKey("versions", TABLE);

    /** Checks that all parts are present. */
    public MemberRow {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
    }

    /**
     * Value of the membership's version row.
     *
     * @param version the version
     */
    public record VersionValue(long version) {}
}
