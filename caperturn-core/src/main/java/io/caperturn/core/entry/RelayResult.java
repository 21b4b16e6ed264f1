package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import java.util.Objects;

/**
 * Result of relaying a submission to its owner: the entry (a process that accepts submissions) that holds its claim.
 */
public sealed interface RelayResult {
    /**
     * The owner answered.
     *
     * @param answer the answer to the submission
     */
    record Answered(Answer answer) implements RelayResult {
        /** Checks that the answer is present. */
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The owner can't be reached: it does not run, or not in the incarnation (run of the process) that holds the claim.
     *
     * @param detail a human-readable explanation in one line
     */
    record OwnerUnreachable(String detail) implements RelayResult {}
}
