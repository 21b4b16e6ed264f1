package io.caperturn.core.entry;

import io.caperturn.core.model.SubmissionId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Submissions whose claim this incarnation may hold and of which it knows that nothing ever started.
 *
 * <p>A resubmission of one of them may run under the claim that is already there. Bounded; what is forgotten is later
 * answered as "may have run", never run. Confined to the thread of the {@link EntryMachine}.
 */
final class NeverStartedClaims {
    private static final int MAXIMUM_SUBMISSIONS = 50_000;

    private final Map<SubmissionId, Integer> attempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SubmissionId, Integer> eldest) {
            return size() > MAXIMUM_SUBMISSIONS;
        }
    };

    void add(SubmissionId submission, int attemptsUsed) {
        attempts.merge(submission, attemptsUsed, Math::max);
    }

    boolean contains(SubmissionId submission) {
        return attempts.containsKey(submission);
    }

    int attemptsUsed(SubmissionId submission) {
        return attempts.getOrDefault(submission, 0);
    }

    void remove(SubmissionId submission) {
        attempts.remove(submission);
    }
}
