package io.caperturn.cli.explain;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Objects;

/**
 * History that an entry process keeps of a submission, read from JSON.
 *
 * @param submission {@code team/key}
 * @param events the events in the order in which they happened
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SubmissionHistoryResponse(String submission, List<Event> events) {
    /** Copies the events. */
    public SubmissionHistoryResponse {
        Objects.requireNonNull(submission, "submission");
        events = events == null ? List.of() : List.copyOf(events);
    }

    /**
     * Event of a submission; components that do not apply to its type are null.
     *
     * @param at the time, ISO 8601
     * @param event the type of the event: admitted, dispatched, attempt-ended, late-report-dropped or answered
     * @param kind the kind (named class of work) of the submission
     * @param urgency the urgency class of the submission
     * @param tasks the number of tasks
     * @param task the task
     * @param attempt the attempt as {@code fence.number}; each new owner (entry responsible for the submission) has a
     *     higher fence
     * @param sidecar the sidecar (process beside an upstream) to which the attempt was sent
     * @param waitedMilliseconds the time for which the task waited before the attempt, in milliseconds
     * @param waitedOn what the task waited for last
     * @param outcome the outcome of the attempt: completed, failed, not-started or unknown
     * @param detail a description in one line
     * @param elapsedMilliseconds the time that the attempt or the submission took, in milliseconds
     * @param result {@code COMPLETE} or the reason of the failure
     * @param execution whether the submission ran, as far as the entry knows
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
        /** Checks that the type of the event is present. */
        public Event {
            Objects.requireNonNull(event, "event");
        }

        /**
         * Returns whether the event is of a type.
         *
         * @param type the type
         * @return true if so
         */
        public boolean hasType(String type) {
            return event.equals(type);
        }
    }
}
