package io.caperturn.cli.submit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;

/**
 * Submission as the command line sends it to entry processes: a job of one or more tasks, or a single request, which is
 * one task. If the submission is sent again, only the remaining time to the deadline in its body differs.
 *
 * @param path the HTTP path, {@code /v1/jobs} or {@code /v1/requests}
 * @param team the team that submits
 * @param key the idempotency key
 * @param body the JSON body without the deadline
 * @param tasks the number of tasks
 * @param deadline the time from the first sending within which the answer must arrive
 */
public record SubmissionRequest(String path, String team, String key, ObjectNode body, int tasks, Duration deadline) {
    private static final String DEADLINE_MEMBER = "deadlineMilliseconds";

    /** Copies the body and checks that all parts are present. */
    public SubmissionRequest {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        body = body.deepCopy();
        Objects.requireNonNull(deadline, "deadline");
    }

    /**
     * Returns the identity by which operators find the submission.
     *
     * @return {@code team/key}
     */
    public String identity() {
        return team + "/" + key;
    }

    /**
     * Returns the JSON body to send.
     *
     * @param remaining the time remaining until the deadline
     * @return the JSON text
     */
    public String bodyWithDeadline(Duration remaining) {
        return body.deepCopy()
                .put(DEADLINE_MEMBER, Math.max(1, remaining.toMillis()))
                .toString();
    }
}
