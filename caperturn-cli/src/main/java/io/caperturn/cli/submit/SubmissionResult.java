package io.caperturn.cli.submit;

/** What came of building a submission from options and file. */
public sealed interface SubmissionResult {
    /**
     * The submission can be sent.
     *
     * @param submission the submission
     */
    record Built(Submission submission) implements SubmissionResult {}

    /**
     * The file can't be submitted.
     *
     * @param message one line for people
     */
    record Wrong(String message) implements SubmissionResult {}
}
