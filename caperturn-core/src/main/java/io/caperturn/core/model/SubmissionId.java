package io.caperturn.core.model;

import java.util.Objects;

/**
 * Identity of a submission: the team and the idempotency key that its client chose.
 *
 * <p>Two submissions with the same identity are the same work, regardless of the processes that receive them.
 *
 * @param team the team that submits, not blank
 * @param key the client's idempotency key, not blank, unique within the team
 */
public record SubmissionId(String team, String key) {
    /** Checks that no component is null or blank. */
    public SubmissionId {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        if (team.isBlank() || key.isBlank()) {
            throw new IllegalArgumentException("team and key must not be blank");
        }
    }

    @Override
    public String toString() {
        return team + "/" + key;
    }
}
