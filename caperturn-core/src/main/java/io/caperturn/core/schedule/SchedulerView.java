package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Urgency;
import java.util.List;
import java.util.Objects;

/**
 * Snapshot of the queues and back ends of a scheduler, for operators.
 *
 * @param queues the queues by kind
 * @param backends the back ends, in the order in which they became known
 */
public record SchedulerView(List<QueueView> queues, List<BackendView> backends) {
    /** View of a scheduler that provides none. */
    public static final SchedulerView EMPTY = new SchedulerView(List.of(), List.of());

    /** Copies the lists. */
    public SchedulerView {
        queues = List.copyOf(queues);
        backends = List.copyOf(backends);
    }

    /**
     * Queue of a kind.
     *
     * @param kind the kind
     * @param urgency the urgency that the table sets for the kind
     * @param waiting the number of waiting tasks
     * @param running the number of tasks that are placed and have not finished
     */
    public record QueueView(String kind, Urgency urgency, int waiting, int running) {
        /** Checks that no component is null. */
        public QueueView {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(urgency, "urgency");
        }
    }

    /** How a back end is treated. */
    public enum BackendStatus {
        /** It gets tasks. */
        USED,
        /** It is on probation after failures and gets one task at a time. */
        PROBED,
        /** It gets no tasks because it fails tasks while other back ends complete theirs. */
        EJECTED,
        /** It gets no tasks during the pause after it refused one. */
        FULL
    }

    /**
     * State of one back end.
     *
     * @param sidecar its sidecar
     * @param status how it is treated
     * @param window the most tasks that may be outstanding there
     * @param outstanding the number of tasks that are placed there and have not finished
     * @param consecutiveFailures the number of failures in a row, of different submissions
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
