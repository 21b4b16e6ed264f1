package io.caperturn.replay.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.caperturn.core.model.Urgency;
import java.util.List;

/** One line of a trace after the first. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Arrival.class, name = "submission"),
    @JsonSubTypes.Type(value = TraceEvent.Cancellation.class, name = "cancellation"),
    @JsonSubTypes.Type(value = TraceEvent.Fault.class, name = "fault")
})
public sealed interface TraceEvent {
    /**
     * Returns when it happened.
     *
     * @return milliseconds since the start of the trace
     */
    double at();

    /**
     * A client submitted work.
     *
     * @param at milliseconds since the start of the trace
     * @param team the client's team
     * @param key the client's key, unique within the team
     * @param kind the kind of work
     * @param urgency the urgency that the client asked for, null for the kind's
     * @param idempotent true for a request that may be retried
     * @param deadlineMilliseconds the time within which the client wants its answer
     * @param tasks the tasks
     */
    record Arrival(
            double at,
            String team,
            String key,
            String kind,
            Urgency urgency,
            boolean idempotent,
            long deadlineMilliseconds,
            List<Task> tasks)
            implements TraceEvent {
        /** Copies the tasks. */
        public Arrival {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * A client cancelled a submission.
     *
     * @param at milliseconds since the start of the trace
     * @param team the client's team
     * @param key the client's key
     */
    record Cancellation(double at, String team, String key) implements TraceEvent {}

    /**
     * Something broke or recovered.
     *
     * @param at milliseconds since the start of the trace
     * @param fault what
     * @param target number of the upstream or entry, from 0
     * @param value factor of the speed, or milliseconds of a pause; otherwise unused
     */
    record Fault(double at, FaultKind fault, int target, double value) implements TraceEvent {}

    /**
     * Times of one task.
     *
     * @param declared the client's estimate in milliseconds, null for none
     * @param actual the time at an upstream of speed 1 in milliseconds
     */
    record Task(Double declared, double actual) {}

    /** What can break. */
    enum FaultKind {
        /** The upstream's speed is multiplied by the value from now on. */
        SPEED,
        /** The upstream fails every task at once from now on. */
        FAILING,
        /** The upstream completes tasks again. */
        RECOVERED,
        /** The upstream and its sidecar are gone. */
        UPSTREAM_LOST,
        /** The entry is gone. */
        ENTRY_LOST,
        /** The entry stands still for the value in milliseconds. */
        ENTRY_PAUSED
    }
}
