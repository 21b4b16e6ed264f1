package io.caperturn.core.entry;

import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Queue that finds the submissions whose deadline has passed.
 *
 * <p>An answered submission stays in the queue until its deadline, because removing it earlier would take a linear
 * search. Confined to the thread of the {@link EntryMachine}.
 */
final class DeadlineQueue {
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(Comparator.comparing(Deadline::at));

    void add(Submission submission) {
        deadlines.add(new Deadline(submission.deadline(), submission.id()));
    }

    /** Removes and returns the submissions whose deadline has passed, earliest deadline first. */
    List<SubmissionId> pollDue(Instant now) {
        List<SubmissionId> due = new ArrayList<>();
        while (!deadlines.isEmpty() && !now.isBefore(deadlines.peek().at())) {
            due.add(deadlines.poll().submission());
        }
        return due;
    }

    /**
     * A submission's deadline.
     *
     * @param at the time of the deadline
     * @param submission the submission
     */
    private record Deadline(Instant at, SubmissionId submission) {}
}
