package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ClientAnswer;
import io.caperturn.testkit.process.Submission;
import java.time.Instant;

/**
 * One request of a client and its end.
 *
 * @param sort what was asked for
 * @param submission the work
 * @param entry the number of the entry that was asked
 * @param stage when it was sent
 * @param answer what came back
 * @param answeredAt when it came back
 */
record Exchange(Sort sort, Submission submission, int entry, Stage stage, ClientAnswer answer, Instant answeredAt) {
    /** When a request was sent. */
    enum Stage {
        BEFORE_FAULT,
        DURING_FAULT,
        AFTER_FAULT
    }

    /** What a request asks for. */
    enum Sort {
        JOB,
        /** A job that the client says to submit again. */
        JOB_AGAIN,
        NON_IDEMPOTENT,
        IDEMPOTENT
    }

    /** Says whether the work is a job, submitted for the first time or again. */
    boolean isOfJob() {
        return sort == Sort.JOB || sort == Sort.JOB_AGAIN;
    }

    @Override
    public String toString() {
        return sort + " " + submission.identity() + " at entry " + entry + " " + stage
                + ": " + answer.status() + " " + answer.reason() + " " + answer.execution() + " "
                + answer.body().path("detail").asText("") + answer.failure() + " after "
                + answer.took().toMillis() + " ms";
    }
}
