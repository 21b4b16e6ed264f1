package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Row of the operators' table of weights and limits, for a kind (named class of work) or a team.
 *
 * @param identity the identity of the row
 * @param kindValues the values that only kinds have, empty for a team
 * @param limits the limits of the kind or team
 * @param version the version of the row, 0 for a row that the table does not hold yet
 */
public record LimitTableRow(RowIdentity identity, Optional<KindValues> kindValues, Limits limits, long version) {
    /** Checks that a kind has its values and a team has none. */
    public LimitTableRow {
        Objects.requireNonNull(limits, "limits");
        if (kindValues.isPresent() != (identity.type() == RowIdentity.Type.KIND)) {
            throw new IllegalArgumentException("only kinds have weight, urgency and task timeout");
        }
    }

    /**
     * Values that only kinds have.
     *
     * @param weight the share of running tasks relative to kinds of the same urgency, at least 1
     * @param urgency the urgency class
     * @param taskTimeout the time-out of the run of one task
     */
    public record KindValues(int weight, Urgency urgency, Duration taskTimeout) {
        /** Checks that all parts are present. */
        public KindValues {
            Objects.requireNonNull(urgency, "urgency");
            Objects.requireNonNull(taskTimeout, "taskTimeout");
        }
    }

    /**
     * Returns whether a limit is 0, which stops the kind or team.
     *
     * @return true if so
     */
    public boolean hasZeroLimit() {
        return limits.running() == 0 || limits.queued() == 0 || limits.startsPerSecond() == 0;
    }

    /**
     * Returns whether another row has the same identity and values, regardless of the versions.
     *
     * @param other the other row
     * @return true if so
     */
    public boolean hasSameValues(LimitTableRow other) {
        return identity.equals(other.identity) && kindValues.equals(other.kindValues) && limits.equals(other.limits);
    }

    /**
     * Returns a copy of the row with another version.
     *
     * @param newVersion the version of the copy
     * @return the copy
     */
    public LimitTableRow withVersion(long newVersion) {
        return new LimitTableRow(identity, kindValues, limits, newVersion);
    }
}
