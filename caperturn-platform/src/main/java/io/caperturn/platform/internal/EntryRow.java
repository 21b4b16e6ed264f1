package io.caperturn.platform.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.platform.RowKey;
import java.util.List;
import java.util.Objects;

/**
 * Value of a row of the table {@code entries}.
 *
 * @param name the entry's name
 * @param incarnation its incarnation
 * @param linkAddress where it accepts links, {@code host:port}
 * @param availabilityZone where it runs
 * @param sidecars the sidecars that it may send work to
 * @param draining true once a planned stop began
 */
public record EntryRow(
        String name,
        long incarnation,
        String linkAddress,
        String availabilityZone,
        List<ProcessValue> sidecars,
        boolean draining) {
    /** Store's table of entries. */
    public static final String TABLE = "entries";

    /** Copies the sidecars and checks that all parts are present. */
    public EntryRow {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        sidecars = List.copyOf(sidecars);
        if (name.isBlank()) {
            throw new IllegalArgumentException("entry must be named");
        }
    }

    /**
     * Returns the place of an entry's row.
     *
     * @param entry the entry
     * @return the place
     */
    public static RowKey keyOf(ProcessId entry) {
        return new RowKey(TABLE, entry.name());
    }

    /**
     * Identity of a process.
     *
     * @param name its name
     * @param incarnation its incarnation
     */
    public record ProcessValue(String name, long incarnation) {
        /** Checks that the process is named. */
        public ProcessValue {
            if (name.isBlank()) {
                throw new IllegalArgumentException("process must be named");
            }
        }

        /**
         * Turns an identity into its stored shape.
         *
         * @param process the identity
         * @return the stored shape
         */
        public static ProcessValue of(ProcessId process) {
            return new ProcessValue(process.name(), process.incarnation());
        }

        /**
         * Turns the stored shape into an identity.
         *
         * @return the identity
         */
        public ProcessId toProcess() {
            return new ProcessId(name, incarnation);
        }
    }
}
