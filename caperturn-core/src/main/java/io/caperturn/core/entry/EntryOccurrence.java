package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Optional;

/** Something that happened in an entry and that logs, metrics and explanations tell of. */
public sealed interface EntryOccurrence {
    /**
     * A submission was admitted.
     *
     * @param submission the submission
     * @param kind its kind
     * @param urgency its urgency in force
     * @param tasks how many tasks it has
     */
    record Admitted(SubmissionId submission, String kind, Urgency urgency, int tasks) implements EntryOccurrence {}

    /**
     * An attempt was dispatched.
     *
     * @param attempt the attempt
     * @param sidecar where to
     * @param waited how long the task waited in the entry
     */
    record Dispatched(AttemptId attempt, ProcessId sidecar, Duration waited) implements EntryOccurrence {}

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param sidecar where it ran
     * @param outcome the outcome's name: completed, failed, not-started or unknown
     * @param detail one line for people, may be empty
     * @param elapsed the time since its dispatch
     */
    record AttemptEnded(AttemptId attempt, ProcessId sidecar, String outcome, String detail, Duration elapsed)
            implements EntryOccurrence {}

    /**
     * A submission was answered.
     *
     * @param submission the submission
     * @param kind its kind
     * @param urgency its urgency in force
     * @param failure why it failed, empty if complete
     * @param execution what is known about whether it ran
     * @param elapsed the time since its arrival
     */
    record Answered(
            SubmissionId submission,
            String kind,
            Urgency urgency,
            Optional<FailureReason> failure,
            Execution execution,
            Duration elapsed)
            implements EntryOccurrence {}

    /**
     * A message arrived that matches nothing outstanding and was dropped.
     *
     * @param attempt the attempt that it named
     * @param sidecar its sender
     */
    record LateReportDropped(AttemptId attempt, ProcessId sidecar) implements EntryOccurrence {}
}
