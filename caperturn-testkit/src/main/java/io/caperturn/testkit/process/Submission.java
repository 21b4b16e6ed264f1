package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.http.Json;

/**
 * Job or single request that a client submits.
 *
 * @param team the team
 * @param key the idempotency key
 * @param kind the kind of work
 * @param tasks how many tasks the job has; they are named {@code t0} and on
 * @param runMilliseconds how long each runs
 * @param deadlineMilliseconds the client's deadline
 */
public record Submission(
        String team, String key, String kind, int tasks, int runMilliseconds, int deadlineMilliseconds) {
    /** Checks the ranges. */
    public Submission {
        if (tasks < 1 || runMilliseconds < 0 || deadlineMilliseconds < 1) {
            throw new IllegalArgumentException("tasks and deadline must be positive, the run time not negative");
        }
    }

    /**
     * Returns the name that upstreams know it by.
     *
     * @return {@code team/key}
     */
    public String identity() {
        return team + "/" + key;
    }

    /**
     * Returns the same work under another key.
     *
     * @param changed the key
     * @return the submission
     */
    public Submission withKey(String changed) {
        return new Submission(team, changed, kind, tasks, runMilliseconds, deadlineMilliseconds);
    }

    ObjectNode toJob() {
        ObjectNode job = head();
        ArrayNode list = job.putArray("tasks");
        for (int index = 0; index < tasks; index++) {
            list.addObject()
                    .put("id", "t" + index)
                    .set(
                            "payload",
                            Json.object()
                                    .put("runMilliseconds", runMilliseconds)
                                    .put("for", identity()));
        }
        return job;
    }

    ObjectNode toRequest(boolean idempotent) {
        ObjectNode request = head();
        request.put("idempotent", idempotent);
        request.set(
                "payload", Json.object().put("runMilliseconds", runMilliseconds).put("for", identity()));
        return request;
    }

    private ObjectNode head() {
        return Json.object().put("team", team).put("kind", kind).put("deadlineMilliseconds", deadlineMilliseconds);
    }
}
