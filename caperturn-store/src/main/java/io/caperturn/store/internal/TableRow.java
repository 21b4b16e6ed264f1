package io.caperturn.store.internal;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import io.caperturn.store.RowKey;
import java.time.Duration;
import java.util.Objects;

/** Value of a row that belongs to the table of weights and limits. */
public sealed interface TableRow {
    /** Store's table of the rows of kinds. */
    String KINDS = "kinds";

    /** Store's table of the rows of teams. */
    String TEAMS = "teams";

    /** Place of the row with the version of the whole table. */
    RowKey VERSION_KEY = new RowKey("versions", "table");

    /**
     * Row of a kind.
     *
     * @param kind the kind's name
     * @param weight its weight
     * @param urgency its class of urgency
     * @param limits its limits
     * @param taskTimeoutMilliseconds longest run of one task
     * @param changeId the change that wrote the row
     */
    record KindValue(
            String kind, int weight, Urgency urgency, LimitsValue limits, long taskTimeoutMilliseconds, String changeId)
            implements TableRow {
        /**
         * Turns a row into its stored shape.
         *
         * @param row the row
         * @param changeId the change that writes it
         * @return the stored shape
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
         * Turns the stored shape into a row.
         *
         * @param version the store's version of the row
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
     * Row of a team.
     *
     * @param team the team's name
     * @param limits its limits
     * @param changeId the change that wrote the row
     */
    record TeamValue(String team, LimitsValue limits, String changeId) implements TableRow {
        /**
         * Turns a row into its stored shape.
         *
         * @param row the row
         * @param changeId the change that writes it
         * @return the stored shape
         */
        public static TeamValue of(TeamRow row, String changeId) {
            return new TeamValue(row.team(), LimitsValue.of(row.limits()), changeId);
        }

        /**
         * Turns the stored shape into a row.
         *
         * @param version the store's version of the row
         * @return the row
         * @throws RuntimeException if a value is absent or out of range
         */
        public TeamRow toRow(long version) {
            return new TeamRow(team, LimitsValue.toLimits(limits), version);
        }
    }

    /**
     * Row with the version of the whole table.
     *
     * @param version the version
     * @param changeId the change that raised it
     */
    record VersionValue(long version, String changeId) implements TableRow {}

    /**
     * Limits; an absent one does not bind.
     *
     * @param running most tasks running at once
     * @param queued most tasks waiting at once
     * @param startsPerSecond most task starts in a second
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record LimitsValue(Integer running, Integer queued, Integer startsPerSecond) {
        private static LimitsValue of(Limits limits) {
            return new LimitsValue(bound(limits.running()), bound(limits.queued()), bound(limits.startsPerSecond()));
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

        private static Integer bound(int limit) {
            return limit == Limits.UNLIMITED ? null : limit;
        }
    }
}
