package io.caperturn.entry.http;

import io.caperturn.core.model.Submission;
import java.util.Objects;

/** Result of parsing the request of a submission. */
sealed interface SubmissionParseResult {
    /**
     * The request is valid.
     *
     * @param submission the submission that the request describes
     */
    record Accepted(Submission submission) implements SubmissionParseResult {
        /** Checks that the submission is present. */
        public Accepted {
            Objects.requireNonNull(submission, "submission");
        }
    }

    /**
     * The request is invalid.
     *
     * @param status the HTTP status of the response
     * @param detail one line that describes the error
     */
    record Malformed(int status, String detail) implements SubmissionParseResult {
        /** Checks that the detail is present. */
        public Malformed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
