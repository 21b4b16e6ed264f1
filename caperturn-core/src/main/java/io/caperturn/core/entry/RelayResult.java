package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import java.util.Objects;

/** Result of relaying a submission to the entry that owns its claim. */
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
     * The incarnation that holds the claim can't be reached.
     *
     * @param detail a human-readable explanation in one line
     */
    record OwnerUnreachable(String detail) implements RelayResult {}
}
