package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Row of the table, of a kind or of a team.
 *
 * @param name its name
 * @param kind the values that only kinds have, present for kinds
 * @param limits its limits
 * @param version its version, 0 if it is not in the store
 */
public record TableRow(RowName name, Optional<KindValues> kind, Limits limits, long version) {
    /** Checks that a kind has its values and a team has none. */
    public TableRow {
        Objects.requireNonNull(limits, "limits");
        if (kind.isPresent() != (name.type() == RowName.Type.KIND)) {
            throw new IllegalArgumentException("only kinds have weight, urgency and task timeout");
        }
    }

    /**
     * Values that only kinds have.
     *
     * @param weight share of slot time against kinds of the same urgency, at least 1
     * @param urgency class of urgency
     * @param taskTimeout longest time that one task may run
     */
    public record KindValues(int weight, Urgency urgency, Duration taskTimeout) {
        /** Checks that all parts are present. */
        public KindValues {
            Objects.requireNonNull(urgency, "urgency");
            Objects.requireNonNull(taskTimeout, "taskTimeout");
        }
    }

    /**
     * Tells whether a limit is 0, which stops the kind or team.
     *
     * @return true if so
     */
    public boolean stops() {
        return limits.running() == 0 || limits.queued() == 0 || limits.startsPerSecond() == 0;
    }

    /**
     * Tells whether another row has the same values, whatever its version.
     *
     * @param other the other row
     * @return true if so
     */
    public boolean sameValues(TableRow other) {
        return name.equals(other.name) && kind.equals(other.kind) && limits.equals(other.limits);
    }

    /**
     * Returns the row at another version.
     *
     * @param other the version
     * @return the row
     */
    public TableRow atVersion(long other) {
        return new TableRow(name, kind, limits, other);
    }
}
