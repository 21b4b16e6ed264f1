package io.caperturn.cli.submit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;

/**
 * Submission as the command line sends it, the same at every attempt but for the deadline that is left.
 *
 * @param path where it goes, {@code /v1/jobs} or {@code /v1/requests}
 * @param team the team that submits
 * @param key the idempotency key
 * @param body the body without its deadline
 * @param tasks the number of tasks
 * @param deadline the time within which an answer is wanted
 */
public record Submission(String path, String team, String key, ObjectNode body, int tasks, Duration deadline) {
    private static final String DEADLINE = "deadlineMilliseconds";

    /** Copies the body and checks that all parts are present. */
    public Submission {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        body = body.deepCopy();
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

    /**
     * Returns the body of one attempt.
     *
     * @param remaining the time that is left of the deadline
     * @return the JSON text
     */
    public String bodyWithin(Duration remaining) {
        return body.deepCopy().put(DEADLINE, Math.max(1, remaining.toMillis())).toString();
    }
}
