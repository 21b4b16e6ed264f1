package io.caperturn.core.model;

import java.util.Objects;

/**
 * Identity of one attempt to run a task.
 *
 * <p>A claim is the durable record that makes one entry (a process that accepts submissions) the owner of a submission;
 * each new owner gets a higher fencing token.
 *
 * @param key the task
 * @param fence the fencing token of the claim under which the attempt was made; 0 for a submission without a claim
 * @param attempt the number of the attempt under that fencing token, from 1
 */
public record AttemptId(TaskKey key, long fence, int attempt) {
    /** Checks that the task is present and the numbers are within their ranges. */
    public AttemptId {
        Objects.requireNonNull(key, "key");
        if (fence < 0 || attempt < 1) {
            throw new IllegalArgumentException("fence must be >= 0 and attempt >= 1");
        }
    }

    @Override
    public String toString() {
        return key + "#" + fence + "." + attempt;
    }
}
