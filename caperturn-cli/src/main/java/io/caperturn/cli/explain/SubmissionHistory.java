package io.caperturn.cli.explain;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Objects;

/**
 * What an entry keeps of a submission.
 *
 * @param submission {@code team/key}
 * @param events what happened, in order
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SubmissionHistory(String submission, List<Event> events) {
    /** Copies the events. */
    public SubmissionHistory {
        Objects.requireNonNull(submission, "submission");
        events = events == null ? List.of() : List.copyOf(events);
    }

    /**
     * Something that happened; members that its kind does not have are null.
     *
     * @param at when, ISO 8601
     * @param event what: admitted, dispatched, attempt-ended, late-report-dropped or answered
     * @param kind the kind of work
     * @param urgency the class of urgency in force
     * @param tasks the number of tasks
     * @param task the task
     * @param attempt the attempt, {@code fence.number}
     * @param sidecar where it was sent
     * @param waitedMilliseconds how long the task waited before
     * @param waitedOn what it waited for last
     * @param outcome how the attempt ended: completed, failed, not-started or unknown
     * @param detail one line for people
     * @param elapsedMilliseconds how long the attempt or the submission took
     * @param result {@code COMPLETE} or the reason of the failure
     * @param execution what is known about whether it ran
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Event(
            String at,
            String event,
            String kind,
            String urgency,
            Integer tasks,
            String task,
            String attempt,
            String sidecar,
            Long waitedMilliseconds,
            String waitedOn,
            String outcome,
            String detail,
            Long elapsedMilliseconds,
            String result,
            String execution) {
        /** Checks that the event is named. */
        public Event {
            Objects.requireNonNull(event, "event");
        }

        /**
         * Tells whether it is of some kind.
         *
         * @param name the kind
         * @return true if so
         */
        public boolean is(String name) {
            return event.equals(name);
        }
    }
}
