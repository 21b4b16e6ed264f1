package io.caperturn.cli.submit;

/** How a submission ended for its client. */
public sealed interface SubmitOutcome {
    /**
     * The whole answer came.
     *
     * @param answer the answer, JSON text
     */
    record Complete(String answer) implements SubmitOutcome {}

    /**
     * Nothing of it ran or will under this submission.
     *
     * @param problem why
     */
    record Refused(Problem problem) implements SubmitOutcome {}

    /**
     * It failed as a whole; some of it ran or may have run.
     *
     * @param problem why
     */
    record Failed(Problem problem) implements SubmitOutcome {}

    /**
     * No entry was reached, so nothing was sent.
     *
     * @param cause one line for people
     */
    record NotSent(String cause) implements SubmitOutcome {}

    /**
     * It was sent, but no answer came that tells.
     *
     * @param cause one line for people
     */
    record Unknown(String cause) implements SubmitOutcome {}
}
