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
 * Decides which waiting task runs next and at which upstream.
 *
 * <p>Implementations are confined to one thread and read no clock: the caller passes the time. A task is in one of
 * three states: unknown to the scheduler, waiting, or placed. {@link #enqueue} makes it waiting, {@link #place} makes
 * it placed, {@link #placementFinished} and {@link #removeWaitingTasks} make it unknown again.
 */
public interface Scheduler {
    /**
     * Puts a newer table in force.
     *
     * @param table the table
     * @param now the time
     */
    void tableChanged(Table table, Instant now);

    /**
     * Confirms this entry's part of the limits, at its start, on every change of membership and before its lease ends.
     *
     * @param share the part
     * @param now the time when the membership that it follows from was read
     */
    default void limitShareConfirmed(LimitShare share, Instant now) {
        // Schedulers without limits have nothing to share.
    }

    /**
     * Decides whether a submission may enter the queues; admission reserves its place in them.
     *
     * @param submission the submission
     * @param now the time
     * @return the decision
     */
    AdmissionDecision admit(Submission submission, Instant now);

    /**
     * Gives back the place that admission reserved, for a submission that will not be enqueued.
     *
     * @param submission the submission
     */
    void releaseReservation(Submission submission);

    /**
     * Makes tasks of an admitted submission wait for placement.
     *
     * @param submission the submission
     * @param tasks the tasks, all of them or those that are to be tried again
     * @param now the time
     */
    void enqueue(Submission submission, List<TaskSpec> tasks, Instant now);

    /**
     * Takes waiting tasks of a submission out of the queues; placed ones stay placed until they end.
     *
     * @param submission the submission
     */
    void removeWaitingTasks(SubmissionId submission);

    /**
     * Notes a sidecar's upstream, its state and its window.
     *
     * @param sidecar the sidecar
     * @param upstream its upstream
     * @param serving false while the upstream takes no new work
     * @param window most placements that may be outstanding there
     * @param now the time
     */
    void sidecarChanged(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now);

    /**
     * Notes a sidecar's window.
     *
     * @param sidecar the sidecar
     * @param window most placements that may be outstanding there
     */
    void windowChanged(ProcessId sidecar, int window);

    /**
     * Forgets a sidecar; placements there must still be ended one by one.
     *
     * @param sidecar the sidecar
     */
    void sidecarLost(ProcessId sidecar);

    /**
     * Notes that a placement ended.
     *
     * @param task the task
     * @param sidecar where it was placed
     * @param end how it ended
     * @param serviceTime the time that the upstream spent on it, zero if it did not start
     * @param now the time
     */
    void placementFinished(TaskKey task, ProcessId sidecar, PlacementOutcome end, Duration serviceTime, Instant now);

    /**
     * Places as many waiting tasks as limits and windows allow.
     *
     * @param now the time
     * @return the placements, in the order in which they were decided
     */
    List<TaskPlacement> place(Instant now);

    /**
     * Returns how many waiting tasks a sidecar could run.
     *
     * @param sidecar the sidecar
     * @return the number of waiting tasks of the kinds that its upstream serves
     */
    int countStartableTasks(ProcessId sidecar);

    /**
     * Returns the submissions that can never run, so that they are failed with the reason.
     *
     * @param now the time
     * @return submissions with waiting tasks whose kind no upstream has served for the configured grace
     */
    List<SubmissionId> findUnservableSubmissions(Instant now);

    /**
     * Tells what is known now, for operators.
     *
     * @return the view, {@link SchedulerView#EMPTY} unless the scheduler tells more
     */
    default SchedulerView view() {
        return SchedulerView.EMPTY;
    }
}
