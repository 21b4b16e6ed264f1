package io.caperturn.entry.observe;

import io.caperturn.core.entry.EntryOccurrence;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.kernel.EventLine;

/**
 * Logger of one line for each occurrence, a step in the life of a submission, with the team and submission, and the
 * task and attempt if it concerns one.
 */
final class OccurrenceLogger {
    private static final System.Logger LOGGER = System.getLogger(OccurrenceLogger.class.getName());

    private OccurrenceLogger() {}

    static void log(EntryOccurrence occurrence) {
        LOGGER.log(System.Logger.Level.INFO, () -> eventLine(occurrence).toString());
    }

    private static EventLine eventLine(EntryOccurrence occurrence) {
        return switch (occurrence) {
            case EntryOccurrence.Admitted admitted ->
                submissionLine("admitted", admitted.submission())
                        .with("kind", admitted.kind())
                        .with("urgency", admitted.urgency())
                        .with("tasks", admitted.tasks());
            case EntryOccurrence.Dispatched dispatched ->
                attemptLine("dispatched", dispatched.attempt())
                        .with("sidecar", dispatched.sidecar())
                        .with("waitedMilliseconds", dispatched.waited().toMillis());
            case EntryOccurrence.AttemptEnded ended ->
                attemptLine("attempt-ended", ended.attempt())
                        .with("sidecar", ended.sidecar())
                        .with("outcome", ended.outcome())
                        .with("detail", ended.detail())
                        .with("elapsedMilliseconds", ended.elapsed().toMillis());
            case EntryOccurrence.Answered answered ->
                submissionLine("answered", answered.submission())
                        .with("kind", answered.kind())
                        .with("result", answered.failure().map(Enum::name).orElse("COMPLETE"))
                        .with("execution", answered.execution().label())
                        .with("elapsedMilliseconds", answered.elapsed().toMillis());
            case EntryOccurrence.LateReportDropped late ->
                attemptLine("late-report-dropped", late.attempt()).with("sidecar", late.sidecar());
        };
    }

    private static EventLine submissionLine(String event, SubmissionId submission) {
        return EventLine.of(event).with("team", submission.team()).with("submission", submission.key());
    }

    private static EventLine attemptLine(String event, AttemptId attempt) {
        return submissionLine(event, attempt.key().submission())
                .with("task", attempt.key().task())
                .with("attempt", attempt.fence() + "." + attempt.attempt());
    }
}
