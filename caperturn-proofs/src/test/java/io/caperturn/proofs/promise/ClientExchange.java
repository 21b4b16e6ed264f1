package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.ClientSubmission;
import java.time.Instant;

/**
 * Request of a client and its response.
 *
 * @param type the type of request
 * @param submission the submitted work
 * @param entryIndex the index of the entry (process that accepts submissions) that received the request
 * @param stage the stage of the scenario in which it was sent
 * @param response the response, or the reason why there is none
 * @param receivedAt the time of the response or failure
 */
record ClientExchange(
        RequestType type,
        ClientSubmission submission,
        int entryIndex,
        Stage stage,
        ClientResponse response,
        Instant receivedAt) {
    /** Stage of the scenario. */
    enum Stage {
        BEFORE_FAULT,
        DURING_FAULT,
        AFTER_FAULT
    }

    /** Type of a request: a job, or a single task, which is idempotent or not. */
    enum RequestType {
        JOB,
        /** A job sent again with the header {@code Caperturn-Resubmission}. */
        DECLARED_RESUBMISSION,
        NON_IDEMPOTENT,
        IDEMPOTENT
    }

    /** Returns whether the work is a job, submitted for the first time or resubmitted. */
    boolean isJob() {
        return type == RequestType.JOB || type == RequestType.DECLARED_RESUBMISSION;
    }

    @Override
    public String toString() {
        return type + " " + submission.identity() + " at entry " + entryIndex + " " + stage
                + ": " + response.status() + " " + response.reason() + " " + response.execution() + " "
                + response.body().path("detail").asText("") + response.failure() + " after "
                + response.duration().toMillis() + " ms";
    }
}
