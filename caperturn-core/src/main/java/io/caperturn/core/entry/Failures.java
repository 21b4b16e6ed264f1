package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import java.util.Optional;

/** Construction of failed answers that carry no time to come back at. */
final class Failures {
    private Failures() {}

    static Answer.Failed of(FailureReason reason, Execution execution, String detail) {
        return new Answer.Failed(reason, execution, detail, Optional.empty());
    }

    static Answer.Failed digestConflict() {
        return of(FailureReason.DIGEST_CONFLICT, Execution.NOT_RUN, "the same key was submitted with another body");
    }
}
