package io.caperturn.core.entry;

import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Claims of this incarnation under which it knows that nothing ever started.
 *
 * <p>A resubmission may run under such a claim if the row in force was written by the very request that is noted here.
 * Bounded; what is forgotten is later answered as "may have run", never run. Confined to the thread of the
 * {@link EntryMachine}.
 */
final class NeverStartedClaims {
    private static final int MAXIMUM_SUBMISSIONS = 50_000;

    private final Map<SubmissionId, Unstarted> claims = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SubmissionId, Unstarted> eldest) {
            return size() > MAXIMUM_SUBMISSIONS;
        }
    };

    void add(Submission submission, long request, int attemptsUsed) {
        Unstarted earlier = find(submission);
        if (earlier == null || !earlier.covers(request)) {
            claims.put(submission.id(), new Unstarted(submission.digest(), request, request, attemptsUsed));
        } else {
            claims.put(submission.id(), earlier.extendTo(request, attemptsUsed));
        }
    }

    /** Continues the note of an earlier request with a later one that is to claim the same submission. */
    void follow(Submission submission, long request) {
        Unstarted earlier = find(submission);
        if (earlier != null) {
            claims.put(submission.id(), earlier.extendTo(request, 0));
        }
    }

    boolean contains(Submission submission, long request) {
        Unstarted unstarted = find(submission);
        return unstarted != null && unstarted.covers(request);
    }

    int attemptsUsed(SubmissionId submission) {
        Unstarted unstarted = claims.get(submission);
        return unstarted == null ? 0 : unstarted.attemptsUsed();
    }

    void remove(SubmissionId submission) {
        claims.remove(submission);
    }

    /** Finds the note of a submission, but not that of another body under the same key. */
    private Unstarted find(Submission submission) {
        Unstarted unstarted = claims.get(submission.id());
        return unstarted != null && unstarted.digest().equals(submission.digest()) ? unstarted : null;
    }

    /**
     * Requests under none of which anything started.
     *
     * @param digest the digest of the body that was claimed
     * @param first the number of the first
     * @param last the number of the last; numbers of other submissions between them do no harm
     * @param attemptsUsed the highest attempt number that was used
     */
    private record Unstarted(String digest, long first, long last, int attemptsUsed) {
        boolean covers(long request) {
            return first <= request && request <= last;
        }

        Unstarted extendTo(long request, int attempts) {
            return new Unstarted(digest, first, Math.max(last, request), Math.max(attemptsUsed, attempts));
        }
    }
}
