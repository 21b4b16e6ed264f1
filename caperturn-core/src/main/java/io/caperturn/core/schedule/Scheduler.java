package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Decides which waiting task of an entry (a process that accepts submissions) runs next and at which upstream.
 *
 * <p>An upstream receives its tasks through the sidecar beside it. The table is the operators' list of the kinds of
 * task and the teams, with their weights and limits. Each entry may use a share of the limits until the lease of the
 * share expires.
 *
 * <p>Implementations are confined to one thread and read no clock: the caller passes the time. A task is in one of
 * three states: unknown to the scheduler, waiting, or placed. {@link #enqueue} makes a task waiting and {@link #place}
 * makes it placed; {@link #removeWaitingTasks} makes a waiting task unknown again, and {@link #placementFinished} a
 * placed one.
 */
public interface Scheduler {
    /**
     * Replaces the table by a newer one.
     *
     * @param table the new table
     * @param now the time
     */
    void tableChanged(Table table, Instant now);

    /**
     * Sets this entry's share of the limits, or renews the lease of an unchanged share. Called at start, on every
     * change of the set of live entries, and before the lease of the share expires.
     *
     * @param share the share
     * @param now when the set of live entries was read
     */
    default void limitShareConfirmed(LimitShare share, Instant now) {
        // A scheduler that enforces no limits ignores its share.
    }

    /**
     * Decides whether a submission may enter the queues, and if so reserves queue capacity for its tasks.
     *
     * @param submission the submission
     * @param now the time
     * @return the decision
     */
    AdmissionDecision admit(Submission submission, Instant now);

    /**
     * Releases the queue capacity that admission reserved for a submission that will not be enqueued.
     *
     * @param submission the submission
     */
    void releaseReservation(Submission submission);

    /**
     * Adds tasks of an admitted submission to the queues.
     *
     * @param submission the submission
     * @param tasks all tasks of the submission, or the tasks to retry
     * @param now the time
     */
    void enqueue(Submission submission, List<TaskSpec> tasks, Instant now);

    /**
     * Removes the waiting tasks of a submission from the queues; placed tasks stay placed until they finish.
     *
     * @param submission the submission
     */
    void removeWaitingTasks(SubmissionId submission);

    /**
     * Updates a sidecar's upstream, state and window, and adds the sidecar if it is new.
     *
     * @param sidecar the sidecar
     * @param upstream its upstream
     * @param serving false while the upstream accepts no new tasks
     * @param window the maximum number of outstanding placements
     * @param now the time
     */
    void sidecarChanged(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now);

    /**
     * Updates a sidecar's window.
     *
     * @param sidecar the sidecar
     * @param window the new maximum number of outstanding placements
     */
    void windowChanged(ProcessId sidecar, int window);

    /**
     * Removes a lost sidecar; each placement there must still be reported through {@link #placementFinished}.
     *
     * @param sidecar the sidecar
     */
    void sidecarLost(ProcessId sidecar);

    /**
     * Records that a placement finished.
     *
     * @param task the task
     * @param sidecar the sidecar at which the task was placed
     * @param outcome the outcome of the placement
     * @param serviceTime the time that the upstream spent on the task, zero if the task did not start
     * @param now the time
     */
    void placementFinished(
            TaskKey task, ProcessId sidecar, PlacementOutcome outcome, Duration serviceTime, Instant now);

    /**
     * Places as many waiting tasks as limits and windows allow.
     *
     * @param now the time
     * @return the placements, in the order in which they were decided
     */
    List<TaskPlacement> place(Instant now);

    /**
     * Returns how many waiting tasks could start at a sidecar's upstream, regardless of its free slots.
     *
     * @param sidecar the sidecar
     * @return the number of waiting tasks of the kinds that the upstream serves, as far as the limits of these kinds
     *     allow
     */
    int countStartableTasks(ProcessId sidecar);

    /**
     * Returns the waiting submissions of kinds that no upstream has served for the configured grace period; the caller
     * fails these submissions. Called regularly.
     *
     * @param now the time
     * @return the submissions
     */
    List<SubmissionId> findUnservableSubmissions(Instant now);

    /**
     * Returns a snapshot of the queues and upstreams, for operators.
     *
     * @return the snapshot, {@link SchedulerView#EMPTY} if the scheduler provides none
     */
    default SchedulerView view() {
        return SchedulerView.EMPTY;
    }
}
