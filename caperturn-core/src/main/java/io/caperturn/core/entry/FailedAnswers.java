package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import java.util.Optional;

/** Factory of failed answers that name no time after which the client can retry. */
final class FailedAnswers {
    private FailedAnswers() {}

    static Answer.Failed of(FailureReason reason, Execution execution, String detail) {
        return new Answer.Failed(reason, execution, detail, Optional.empty());
    }

    /** Returns the answer to a submission that has the key of an earlier submission but another body. */
    static Answer.Failed digestConflict() {
        return of(FailureReason.DIGEST_CONFLICT, Execution.NOT_RUN, "the same key was submitted with another body");
    }
}
