package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Urgency;
import java.util.List;
import java.util.Objects;

/**
 * What a scheduler knows at one moment, for operators.
 *
 * @param queues the queues by kind
 * @param backends the back ends, in the order in which they became known
 */
public record SchedulerView(List<QueueView> queues, List<BackendView> backends) {
    /** View of a scheduler that tells nothing. */
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
     * @param urgency its class of urgency by the table
     * @param waiting tasks that wait
     * @param running tasks that are placed and have not ended
     */
    public record QueueView(String kind, Urgency urgency, int waiting, int running) {
        /** Checks that the kind is named. */
        public QueueView {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(urgency, "urgency");
        }
    }

    /** How a back end is treated. */
    public enum BackendStatus {
        /** It gets work. */
        USED,
        /** It failed lately and is probed with single tasks. */
        PROBED,
        /** It fails what others complete and gets nothing. */
        EJECTED,
        /** It refused a task just now and is left alone for a moment. */
        FULL
    }

    /**
     * Back end.
     *
     * @param sidecar its sidecar
     * @param status how it is treated
     * @param window most tasks that may be outstanding there
     * @param outstanding tasks that are placed there and have not ended
     * @param consecutiveFailures failures in a row, of different submissions
     */
    public record BackendView(
            ProcessId sidecar, BackendStatus status, int window, int outstanding, int consecutiveFailures) {
        /** Checks that it is named. */
        public BackendView {
            Objects.requireNonNull(sidecar, "sidecar");
            Objects.requireNonNull(status, "treatment");
        }
    }
}
