package io.caperturn.cli.submit;

/** Result of building a submission from options and a file. */
public sealed interface SubmissionBuildResult {
    /**
     * The submission is complete and can be sent.
     *
     * @param submission the submission
     */
    record Built(SubmissionRequest submission) implements SubmissionBuildResult {}

    /**
     * The file is missing or its content can't be submitted.
     *
     * @param message a description of the mistake in one line
     */
    record Invalid(String message) implements SubmissionBuildResult {}
}
