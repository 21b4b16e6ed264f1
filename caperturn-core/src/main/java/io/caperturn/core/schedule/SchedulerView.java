package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Urgency;
import java.util.List;
import java.util.Objects;

/**
 * Snapshot of the queues and back ends (sidecar processes with their upstreams) of a scheduler, for operators.
 *
 * @param queues the queues by kind of task
 * @param backends the back ends, in the order in which they became known
 */
public record SchedulerView(List<QueueView> queues, List<BackendView> backends) {
    /** View without queues and back ends, returned by schedulers that provide no view. */
    public static final SchedulerView EMPTY = new SchedulerView(List.of(), List.of());

    /** Copies the lists. */
    public SchedulerView {
        queues = List.copyOf(queues);
        backends = List.copyOf(backends);
    }

    /**
     * Queue of one kind of task.
     *
     * @param kind the kind
     * @param urgency the urgency that the operators' table sets for the kind
     * @param waiting the number of waiting tasks
     * @param running the number of placed, unfinished tasks
     */
    public record QueueView(String kind, Urgency urgency, int waiting, int running) {
        /** Checks that no component is null. */
        public QueueView {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(urgency, "urgency");
        }
    }

    /** Status of a back end, which determines whether tasks are placed there. */
    public enum BackendStatus {
        /** The back end gets tasks normally. */
        USED,
        /** The back end is on probation after failures and gets one task at a time. */
        ON_PROBATION,
        /** The back end gets no tasks for some time because it failed tasks while others completed theirs. */
        EJECTED,
        /** The back end gets no tasks for a short time because its sidecar refused one. */
        FULL
    }

    /**
     * State of one back end.
     *
     * @param sidecar its sidecar
     * @param status whether tasks are placed there
     * @param window the maximum number of outstanding tasks
     * @param outstanding the number of placed, unfinished tasks
     * @param consecutiveFailures the number of consecutive failures, of different submissions
     */
    public record BackendView(
            ProcessId sidecar, BackendStatus status, int window, int outstanding, int consecutiveFailures) {
        /** Checks that no component is null. */
        public BackendView {
            Objects.requireNonNull(sidecar, "sidecar");
            Objects.requireNonNull(status, "status");
        }
    }
}
