package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Optional;

/**
 * Lifecycle event of a submission, published for logs, metrics and explanations of single submissions.
 *
 * <p>Each event is one step in an entry process's handling of the submission. Operators see the steps as its history.
 */
public sealed interface SubmissionLifecycleEvent {
    /**
     * A submission was admitted.
     *
     * @param submission the submission
     * @param kind the name of its kind of work
     * @param urgency the urgency that the scheduler applies to it
     * @param tasks the number of its tasks
     */
    record Admitted(SubmissionId submission, String kind, Urgency urgency, int tasks)
            implements SubmissionLifecycleEvent {}

    /**
     * An attempt to run a task was dispatched.
     *
     * @param attempt the attempt
     * @param sidecar the sidecar (the process that starts tasks at an upstream) to which it was sent
     * @param waited the time that the task waited in the entry
     */
    record Dispatched(AttemptId attempt, ProcessId sidecar, Duration waited) implements SubmissionLifecycleEvent {}

    /**
     * A sidecar reported the state of an attempt; despite the name of this record, the attempt can still be queued or
     * running.
     *
     * @param attempt the attempt
     * @param sidecar the sidecar that reported it
     * @param outcome the name of the state: queued, running, completed, failed or not-started
     * @param detail the failure, or the reason why the attempt did not start; empty for other states
     * @param elapsed the time since the entry last changed the state of the task
     */
    record AttemptEnded(AttemptId attempt, ProcessId sidecar, String outcome, String detail, Duration elapsed)
            implements SubmissionLifecycleEvent {}

    /**
     * A submission was answered.
     *
     * @param submission the submission
     * @param kind the name of its kind of work
     * @param urgency the urgency that the scheduler applies to it
     * @param failure the failure reason; empty if the answer is complete
     * @param execution what is known about whether any task ran
     * @param elapsed the time since the submission arrived
     */
    record Answered(
            SubmissionId submission,
            String kind,
            Urgency urgency,
            Optional<FailureReason> failure,
            Execution execution,
            Duration elapsed)
            implements SubmissionLifecycleEvent {}

    /**
     * A report was dropped, because the outcome of its attempt was no longer awaited.
     *
     * @param attempt the reported attempt
     * @param sidecar the sidecar that sent the report
     */
    record LateReportDropped(AttemptId attempt, ProcessId sidecar) implements SubmissionLifecycleEvent {}
}
