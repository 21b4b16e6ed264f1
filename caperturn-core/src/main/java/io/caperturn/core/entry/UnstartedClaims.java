package io.caperturn.core.entry;

import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Claims (durable records of a submission's owner) that this process requested and under which no task ever started.
 *
 * <p>A resubmission may run under such a claim if one of the requests recorded here wrote the stored claim. The number
 * of records is bounded; a submission whose record was dropped is answered as "may have run" and never run. Confined to
 * the thread of the {@link EntryMachine}.
 */
final class UnstartedClaims {
    private static final int MAXIMUM_SUBMISSIONS = 50_000;

    private final Map<SubmissionId, RequestRange> claims = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SubmissionId, RequestRange> eldest) {
            return size() > MAXIMUM_SUBMISSIONS;
        }
    };

    /** Records that no task started under a claim request; {@code attemptsUsed} is the highest attempt number used. */
    void add(Submission submission, long request, int attemptsUsed) {
        RequestRange recorded = find(submission);
        if (recorded == null || !recorded.covers(request)) {
            claims.put(submission.id(), new RequestRange(submission.digest(), request, request, attemptsUsed));
        } else {
            claims.put(submission.id(), recorded.extendTo(request, attemptsUsed));
        }
    }

    /** Extends the record of a submission, if there is one, to a later request that claims the submission again. */
    void extend(Submission submission, long request) {
        RequestRange recorded = find(submission);
        if (recorded != null) {
            claims.put(submission.id(), recorded.extendTo(request, 0));
        }
    }

    boolean contains(Submission submission, long request) {
        RequestRange range = find(submission);
        return range != null && range.covers(request);
    }

    int attemptsUsed(SubmissionId submission) {
        RequestRange range = claims.get(submission);
        return range == null ? 0 : range.attemptsUsed();
    }

    void remove(SubmissionId submission) {
        claims.remove(submission);
    }

    /** Finds the record of a submission; a record of another body under the same key does not match. */
    private RequestRange find(Submission submission) {
        RequestRange range = claims.get(submission.id());
        return range != null && range.digest().equals(submission.digest()) ? range : null;
    }

    /**
     * Range of claim requests under which no task started.
     *
     * @param digest the digest of the body that was claimed
     * @param first the number of the first request
     * @param last the number of the last request; requests of other submissions may lie between, because only stored
     *     claims of this submission are compared with the range
     * @param attemptsUsed the highest attempt number used so far
     */
    private record RequestRange(String digest, long first, long last, int attemptsUsed) {
        boolean covers(long request) {
            return first <= request && request <= last;
        }

        RequestRange extendTo(long request, int attempts) {
            return new RequestRange(digest, first, Math.max(last, request), Math.max(attemptsUsed, attempts));
        }
    }
}
