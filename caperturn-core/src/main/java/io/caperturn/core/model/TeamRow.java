package io.caperturn.core.model;

import java.util.Objects;

/**
 * Row of the operators' table for the limits of one team.
 *
 * @param team the team's name
 * @param limits its limits, which apply to the whole system
 * @param rowVersion the version of this row, increased by each edit
 */
public record TeamRow(String team, Limits limits, long rowVersion) {
    /** Checks that the limits are present and the name is not blank. */
    public TeamRow {
        Objects.requireNonNull(limits, "limits");
        if (team.isBlank()) {
            throw new IllegalArgumentException("team must be named");
        }
    }
}
