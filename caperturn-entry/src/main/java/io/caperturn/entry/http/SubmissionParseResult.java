package io.caperturn.entry.http;

import io.caperturn.core.model.Submission;
import java.util.Objects;

/** What came of reading a request for work. */
sealed interface SubmissionParseResult {
    /**
     * The request is well formed.
     *
     * @param submission the work that it asks for
     */
    record Accepted(Submission submission) implements SubmissionParseResult {
        /** Checks that the submission is present. */
        public Accepted {
            Objects.requireNonNull(submission, "submission");
        }
    }

    /**
     * The request is malformed; nothing of it was started.
     *
     * @param status the HTTP status to answer with
     * @param detail one line for people
     */
    record Malformed(int status, String detail) implements SubmissionParseResult {
        /** Checks that the detail is present. */
        public Malformed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
