package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.Resources;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Explanation of where the tasks of a job would be sent if it arrived now, or why it would be refused.
 *
 * @param refusal the refusal that the job would get; empty if it would be accepted
 * @param predictedMilliseconds predicted time until the job completes, in milliseconds; empty if the job is refused for
 *     a reason other than load
 * @param allowedMilliseconds longest predicted time with which the job is accepted, in milliseconds; empty likewise
 * @param waitingTasks number of tasks that wait at the entry (process that accepts jobs)
 * @param readyTasks number of tasks of the job that depend on no other step
 * @param candidates assessment of each sidecar for the first task of each ready step, the best first
 * @param placements outcome for each ready task, in order; empty if the job would be refused
 */
public record PlacementExplanation(
        Optional<CallerAnswers.Submission.Refused> refusal,
        OptionalLong predictedMilliseconds,
        OptionalLong allowedMilliseconds,
        int waitingTasks,
        int readyTasks,
        List<Candidate> candidates,
        List<Placement> placements) {
    /** Copies the lists. */
    public PlacementExplanation {
        Objects.requireNonNull(refusal, "refusal");
        candidates = List.copyOf(candidates);
        placements = List.copyOf(placements);
    }

    /**
     * Sidecar (process beside an upstream) that was assessed as the place for a task.
     *
     * @param step number of the step of the task
     * @param node name of the instance of the sidecar
     * @param free free capacity of the upstream; {@link Resources#NONE} if it is unknown
     * @param candidacy the assessment
     */
    public record Candidate(int step, String node, Resources free, Candidacy candidacy) {}

    /** Outcome for one task. */
    public sealed interface Placement {
        /**
         * Returns the number of the task's step.
         *
         * @return the number, from 0
         */
        int step();

        /**
         * Returns the number of the task in its step.
         *
         * @return the number, from 0
         */
        int index();

        /**
         * The task would be sent to a sidecar at once.
         *
         * @param step number of the task's step
         * @param index number of the task in its step
         * @param node name of the instance of the sidecar
         * @param cost the cost there
         */
        record Sent(int step, int index, String node, PlacementCost cost) implements Placement {}

        /**
         * The task would wait at the entry.
         *
         * @param step number of the task's step
         * @param index number of the task in its step
         * @param reason why it would wait; empty if the pass ends at tasks before it that have to wait
         */
        record Waiting(int step, int index, Optional<WaitReason> reason) implements Placement {}
    }

    /** Answer to a request for an explanation. */
    public sealed interface Answer {
        /**
         * The placement was explained.
         *
         * @param explanation the explanation
         */
        record Explained(PlacementExplanation explanation) implements Answer {}

        /**
         * Another explanation was given just before.
         *
         * @param retryAfterMilliseconds time after which the next one is given, in milliseconds
         */
        record TooSoon(long retryAfterMilliseconds) implements Answer {}
    }
}
