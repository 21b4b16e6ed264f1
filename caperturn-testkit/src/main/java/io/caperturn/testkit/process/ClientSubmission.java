package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.http.TestkitJson;

/**
 * Work that a client submits: a job, or a request with a single task.
 *
 * @param team the team
 * @param key the idempotency key
 * @param kind the kind of work
 * @param taskCount the number of tasks of the job; their ids are {@code t0}, {@code t1} and so on
 * @param runMilliseconds the run time of each task, in milliseconds
 * @param deadlineMilliseconds the time from submission to the deadline, in milliseconds
 */
public record ClientSubmission(
        String team, String key, String kind, int taskCount, int runMilliseconds, int deadlineMilliseconds) {
    /** Checks the ranges. */
    public ClientSubmission {
        if (taskCount < 1 || runMilliseconds < 0 || deadlineMilliseconds < 1) {
            throw new IllegalArgumentException(
                    "tasks and deadlineMilliseconds must be positive, runMilliseconds must not be negative");
        }
    }

    /**
     * Returns the name of the submission in messages to upstreams.
     *
     * @return {@code team/key}
     */
    public String identity() {
        return team + "/" + key;
    }

    /**
     * Returns a copy with another key.
     *
     * @param newKey the new idempotency key
     * @return the submission
     */
    public ClientSubmission withKey(String newKey) {
        return new ClientSubmission(team, newKey, kind, taskCount, runMilliseconds, deadlineMilliseconds);
    }

    ObjectNode toJob() {
        ObjectNode job = commonFields();
        ArrayNode taskArray = job.putArray("tasks");
        for (int index = 0; index < taskCount; index++) {
            taskArray
                    .addObject()
                    .put("id", "t" + index)
                    .set(
                            "payload",
                            TestkitJson.object()
                                    .put("runMilliseconds", runMilliseconds)
                                    .put("for", identity()));
        }
        return job;
    }

    ObjectNode toRequest(boolean idempotent) {
        ObjectNode request = commonFields();
        request.put("idempotent", idempotent);
        request.set(
                "payload",
                TestkitJson.object().put("runMilliseconds", runMilliseconds).put("for", identity()));
        return request;
    }

    private ObjectNode commonFields() {
        return TestkitJson.object()
                .put("team", team)
                .put("kind", kind)
                .put("deadlineMilliseconds", deadlineMilliseconds);
    }
}
