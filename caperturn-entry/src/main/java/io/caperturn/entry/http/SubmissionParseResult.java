package io.caperturn.entry.http;

import io.caperturn.core.model.Submission;
import java.util.Objects;

/** Result of parsing a request that submits work. */
sealed interface SubmissionParseResult {
    /**
     * The request is valid.
     *
     * @param submission the submission that the request describes
     */
    record Valid(Submission submission) implements SubmissionParseResult {
        /** Rejects a null submission. */
        public Valid {
            Objects.requireNonNull(submission, "submission");
        }
    }

    /**
     * The request is invalid.
     *
     * @param status the HTTP status of the response
     * @param detail one line that describes the error
     */
    record Invalid(int status, String detail) implements SubmissionParseResult {
        /** Rejects a null detail. */
        public Invalid {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
