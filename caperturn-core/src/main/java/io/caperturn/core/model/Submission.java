package io.caperturn.core.model;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A job or single request, as received by an entry (a process that accepts submissions) from a client.
 *
 * @param id the identity of the submission
 * @param kind the kind of work, which has a row in the operators' table
 * @param urgency the urgency that the client requested; if absent, that of the kind's row applies
 * @param repeatability whether a task may be started more than once
 * @param deadline the instant by which the client must have an answer
 * @param digest the hash of the submitted body; another submission with the same identity and another digest is a
 *     conflict
 * @param tasks the tasks in the client's order, at least one, with distinct identities
 */
public record Submission(
        SubmissionId id,
        String kind,
        Optional<Urgency> urgency,
        Repeatability repeatability,
        Instant deadline,
        String digest,
        List<TaskSpec> tasks) {
    /** Copies the tasks, and checks that there is at least one and that no component is null. */
    public Submission {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(urgency, "urgency");
        Objects.requireNonNull(repeatability, "repeatability");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(digest, "digest");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty()) {
            throw new IllegalArgumentException("a submission has at least one task");
        }
    }

    /**
     * Returns whether a claim, the durable record of the entry that owns the submission, must exist before the first
     * start of a task.
     *
     * @return true unless the submission is idempotent
     */
    public boolean needsClaim() {
        return repeatability == Repeatability.AT_MOST_ONCE;
    }
}
