package io.caperturn.cli.submit;

/** Outcome of a submission as its client knows it. */
public sealed interface SubmitOutcome {
    /**
     * The complete answer arrived.
     *
     * @param answer the answer as JSON
     */
    record Complete(String answer) implements SubmitOutcome {}

    /**
     * The submission was refused: nothing of it ran or will run.
     *
     * @param problem the reason
     */
    record Refused(SubmissionProblem problem) implements SubmitOutcome {}

    /**
     * The submission failed; some of its work ran or may have run.
     *
     * @param problem the reason
     */
    record Failed(SubmissionProblem problem) implements SubmitOutcome {}

    /**
     * No entry (process that accepts submissions) could be reached, so nothing was sent.
     *
     * @param cause a description of the failure in one line
     */
    record NotSent(String cause) implements SubmitOutcome {}

    /**
     * The submission was sent, but no conclusive answer arrived.
     *
     * @param cause a description of the failure in one line
     */
    record Unknown(String cause) implements SubmitOutcome {}
}
