package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import java.util.Objects;

/** What came of relaying a submission to the entry that owns its claim. */
public sealed interface RelayResult {
    /**
     * The owner answered.
     *
     * @param answer the one answer of the submission
     */
    record Answered(Answer answer) implements RelayResult {
        /** Checks that the answer is present. */
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The owner can't be reached under the incarnation that holds the claim.
     *
     * @param detail one line for people
     */
    record OwnerUnreachable(String detail) implements RelayResult {}
}
