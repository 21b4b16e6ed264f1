package io.caperturn.entry.observe;

import io.caperturn.core.entry.SubmissionLifecycleEvent;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.kernel.EventLine;

/**
 * Logger of one line for each lifecycle event of a submission. An attempt to run a task is named by a fencing token and
 * the number under that token.
 */
final class LifecycleEventLogger {
    private static final System.Logger LOGGER = System.getLogger(LifecycleEventLogger.class.getName());

    private LifecycleEventLogger() {}

    static void log(SubmissionLifecycleEvent event) {
        LOGGER.log(System.Logger.Level.INFO, () -> eventLine(event).toString());
    }

    private static EventLine eventLine(SubmissionLifecycleEvent event) {
        return switch (event) {
            case SubmissionLifecycleEvent.Admitted admitted ->
                submissionLine("admitted", admitted.submission())
                        .with("kind", admitted.kind())
                        .with("urgency", admitted.urgency())
                        .with("tasks", admitted.tasks());
            case SubmissionLifecycleEvent.Dispatched dispatched ->
                attemptLine("dispatched", dispatched.attempt())
                        .with("sidecar", dispatched.sidecar())
                        .with("waitedMilliseconds", dispatched.waited().toMillis());
            case SubmissionLifecycleEvent.AttemptEnded ended ->
                attemptLine("attempt-ended", ended.attempt())
                        .with("sidecar", ended.sidecar())
                        .with("outcome", ended.outcome())
                        .with("detail", ended.detail())
                        .with("elapsedMilliseconds", ended.elapsed().toMillis());
            case SubmissionLifecycleEvent.Answered answered ->
                submissionLine("answered", answered.submission())
                        .with("kind", answered.kind())
                        .with("result", answered.failure().map(Enum::name).orElse("COMPLETE"))
                        .with("execution", answered.execution().label())
                        .with("elapsedMilliseconds", answered.elapsed().toMillis());
            case SubmissionLifecycleEvent.LateReportDropped late ->
                attemptLine("late-report-dropped", late.attempt()).with("sidecar", late.sidecar());
        };
    }

    private static EventLine submissionLine(String eventName, SubmissionId submission) {
        return EventLine.of(eventName).with("team", submission.team()).with("submission", submission.key());
    }

    private static EventLine attemptLine(String eventName, AttemptId attempt) {
        return submissionLine(eventName, attempt.key().submission())
                .with("task", attempt.key().task())
                .with("attempt", attempt.fence() + "." + attempt.attempt());
    }
}
