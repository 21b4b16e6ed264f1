package io.caperturn.replay.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.caperturn.core.model.Urgency;
import java.util.List;

/** Event of a trace; each line of a trace file after the header holds one. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Arrival.class, name = "submission"),
    @JsonSubTypes.Type(value = TraceEvent.Cancellation.class, name = "cancellation"),
    @JsonSubTypes.Type(value = TraceEvent.Fault.class, name = "fault")
})
public sealed interface TraceEvent {
    /**
     * Returns the time of the event.
     *
     * @return milliseconds since the start of the trace
     */
    double at();

    /**
     * A client submitted tasks.
     *
     * @param at milliseconds since the start of the trace
     * @param team the client's team
     * @param key the client's key, unique within the team
     * @param kind the kind (type) of the tasks
     * @param urgency the urgency that the client asked for, null for that of the kind
     * @param idempotent true if the tasks may run more than once
     * @param deadlineMilliseconds the time after the submission by which the client expects the answer
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
     * An upstream (server that runs tasks) changed its speed, failed, recovered or was lost, or an entry (process that
     * accepts submissions) was paused or lost.
     *
     * @param at milliseconds since the start of the trace
     * @param fault the type of the fault
     * @param target the number of the upstream or entry, from 0
     * @param value the factor of the speed, or the length of the pause in milliseconds; unused for other faults
     */
    record Fault(double at, FaultType fault, int target, double value) implements TraceEvent {}

    /**
     * Declared and actual run time of one task.
     *
     * @param declared the client's estimate in milliseconds, null for none
     * @param actual the run time at an upstream of speed 1 in milliseconds
     */
    record Task(Double declared, double actual) {}

    /** Type of a fault. */
    enum FaultType {
        /** The upstream's speed is multiplied by the value from now on. */
        SPEED,
        /** The upstream fails every task immediately from now on. */
        FAILING,
        /** The upstream completes tasks again. */
        RECOVERED,
        /** The upstream and its sidecar stop for good, and the tasks that run there are lost. */
        UPSTREAM_LOST,
        /** The entry stops for good. */
        ENTRY_LOST,
        /** The entry handles no events for the number of milliseconds in the value. */
        ENTRY_PAUSED
    }
}
