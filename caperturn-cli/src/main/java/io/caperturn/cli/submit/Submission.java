package io.caperturn.cli.submit;

import java.time.Duration;
import java.util.Objects;

/**
 * Submission as the command line sends it, the same bytes at every attempt.
 *
 * @param path where it goes, {@code /v1/jobs} or {@code /v1/requests}
 * @param team the team that submits
 * @param key the idempotency key
 * @param body the JSON text
 * @param tasks the number of tasks
 * @param deadline the time within which an answer is wanted
 */
public record Submission(String path, String team, String key, String body, int tasks, Duration deadline) {
    /** Checks that all parts are present. */
    public Submission {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(deadline, "deadline");
    }

    /**
     * Returns the identity that operators search for.
     *
     * @return {@code team/key}
     */
    public String identity() {
        return team + "/" + key;
    }
}
