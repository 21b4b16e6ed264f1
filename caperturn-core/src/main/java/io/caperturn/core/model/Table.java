package io.caperturn.core.model;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' table, which lists the kinds of work and the teams with their weights and limits.
 *
 * @param version the version of the whole table, increased by each accepted change; 0 before a table is known
 * @param kinds the rows of kinds, by the kind's name
 * @param teams the rows of teams, by the team's name; a team without a row has no limits
 */
public record Table(long version, Map<String, KindRow> kinds, Map<String, TeamRow> teams) {
    /** The empty table, which is in use before a table is known. */
    public static final Table EMPTY = new Table(0, Map.of(), Map.of());

    /** Copies the rows. */
    public Table {
        kinds = Map.copyOf(kinds);
        teams = Map.copyOf(teams);
    }

    /**
     * Finds the row of a kind.
     *
     * @param kind the kind's name
     * @return its row, or empty if the table has none
     */
    public Optional<KindRow> kind(String kind) {
        return Optional.ofNullable(kinds.get(kind));
    }

    /**
     * Returns the limits of a team.
     *
     * @param team the team's name
     * @return its limits, {@link Limits#NONE} where the table has no row for it
     */
    public Limits teamLimits(String team) {
        TeamRow row = teams.get(team);
        return row == null ? Limits.NONE : row.limits();
    }
}
