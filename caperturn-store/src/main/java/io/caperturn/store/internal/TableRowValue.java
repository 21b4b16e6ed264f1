package io.caperturn.store.internal;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import io.caperturn.store.RowKey;
import java.time.Duration;
import java.util.Objects;

/** Value of a row of the operators' table of weights and limits of kinds (named classes of work) and teams. */
public sealed interface TableRowValue {
    /** Name of the store's table with the rows of kinds. */
    String KINDS_TABLE = "kinds";

    /** Name of the store's table with the rows of teams. */
    String TEAMS_TABLE = "teams";

    /** Key of the row with the version of the whole table. */
    RowKey VERSION_KEY = new RowKey("versions", "table");

    /**
     * Stored form of a kind's row.
     *
     * @param kind the kind's name
     * @param weight the kind's weight
     * @param urgency the kind's urgency class
     * @param limits the limits
     * @param taskTimeoutMilliseconds the maximum run time of a task, in milliseconds
     * @param changeId the identifier of the change that wrote the row
     */
    record KindValue(
            String kind, int weight, Urgency urgency, LimitsValue limits, long taskTimeoutMilliseconds, String changeId)
            implements TableRowValue {
        /**
         * Converts a row to its stored form.
         *
         * @param row the row
         * @param changeId the identifier of the change that writes the row
         * @return the stored form
         */
        public static KindValue of(KindRow row, String changeId) {
            return new KindValue(
                    row.kind(),
                    row.weight(),
                    row.urgency(),
                    LimitsValue.of(row.limits()),
                    row.taskTimeout().toMillis(),
                    changeId);
        }

        /**
         * Converts the stored form to a row.
         *
         * @param version the row's version in the store
         * @return the row
         * @throws RuntimeException if a value is absent or out of range
         */
        public KindRow toRow(long version) {
            return new KindRow(
                    kind,
                    weight,
                    urgency,
                    LimitsValue.toLimits(limits),
                    Duration.ofMillis(taskTimeoutMilliseconds),
                    version);
        }
    }

    /**
     * Stored form of a team's row.
     *
     * @param team the team's name
     * @param limits the limits
     * @param changeId the identifier of the change that wrote the row
     */
    record TeamValue(String team, LimitsValue limits, String changeId) implements TableRowValue {
        /**
         * Converts a row to its stored form.
         *
         * @param row the row
         * @param changeId the identifier of the change that writes the row
         * @return the stored form
         */
        public static TeamValue of(TeamRow row, String changeId) {
            return new TeamValue(row.team(), LimitsValue.of(row.limits()), changeId);
        }

        /**
         * Converts the stored form to a row.
         *
         * @param version the row's version in the store
         * @return the row
         * @throws RuntimeException if a value is absent or out of range
         */
        public TeamRow toRow(long version) {
            return new TeamRow(team, LimitsValue.toLimits(limits), version);
        }
    }

    /**
     * Stored form of the row with the version of the whole table.
     *
     * @param version the version
     * @param changeId the identifier of the change that produced the version
     */
    record VersionValue(long version, String changeId) implements TableRowValue {}

    /**
     * Limits of a kind or a team; an absent limit means unlimited.
     *
     * @param running the maximum number of tasks running at once
     * @param queued the maximum number of tasks waiting at once
     * @param startsPerSecond the maximum number of task starts per second
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record LimitsValue(Integer running, Integer queued, Integer startsPerSecond) {
        private static LimitsValue of(Limits limits) {
            return new LimitsValue(
                    nullIfUnlimited(limits.running()),
                    nullIfUnlimited(limits.queued()),
                    nullIfUnlimited(limits.startsPerSecond()));
        }

        private static Limits toLimits(LimitsValue value) {
            if (value == null) {
                return Limits.NONE;
            }
            return new Limits(
                    Objects.requireNonNullElse(value.running, Limits.UNLIMITED),
                    Objects.requireNonNullElse(value.queued, Limits.UNLIMITED),
                    Objects.requireNonNullElse(value.startsPerSecond, Limits.UNLIMITED));
        }

        private static Integer nullIfUnlimited(int limit) {
            return limit == Limits.UNLIMITED ? null : limit;
        }
    }
}
