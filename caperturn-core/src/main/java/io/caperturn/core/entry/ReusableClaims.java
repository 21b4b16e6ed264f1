package io.caperturn.core.entry;

import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Record of the claims under which no task has started, so that a resubmission can run under them.
 *
 * <p>A claim is the durable record that makes one entry (a process that accepts submissions) the owner of a submission.
 * Requests to write claims are numbered, and the stored claim holds the number of its request. A resubmission can run
 * under a claim of this entry if the number is recorded here. Only the newest submissions are recorded, up to a maximum
 * number; a submission whose record was dropped is not run, and is answered as "may have run". Confined to the thread
 * of the {@link EntryMachine}.
 */
final class ReusableClaims {
    private static final int MAXIMUM_SUBMISSIONS = 50_000;

    private final Map<SubmissionId, RequestRange> requestRanges = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SubmissionId, RequestRange> eldest) {
            return size() > MAXIMUM_SUBMISSIONS;
        }
    };

    /** Records that no task started under a claim request, and the highest attempt number so far, 0 for no attempt. */
    void add(Submission submission, long request, int highestAttempt) {
        RequestRange recorded = find(submission);
        if (recorded == null || !recorded.covers(request)) {
            requestRanges.put(submission.id(), new RequestRange(submission.digest(), request, request, highestAttempt));
        } else {
            requestRanges.put(submission.id(), recorded.extendTo(request, highestAttempt));
        }
    }

    /** Adds a later claim request to the record of its submission, if there is one. */
    void addRequestIfRecorded(Submission submission, long request) {
        RequestRange recorded = find(submission);
        if (recorded != null) {
            requestRanges.put(submission.id(), recorded.extendTo(request, /* attempt= */ 0));
        }
    }

    /** Returns whether a claim request is recorded, so that no task has started under a claim that it wrote. */
    boolean isReusable(Submission submission, long request) {
        RequestRange range = find(submission);
        return range != null && range.covers(request);
    }

    int highestAttempt(SubmissionId submission) {
        RequestRange range = requestRanges.get(submission);
        return range == null ? 0 : range.highestAttempt();
    }

    void remove(SubmissionId submission) {
        requestRanges.remove(submission);
    }

    /** Returns the record of a submission; null if there is none, or only one of another body under the same key. */
    private RequestRange find(Submission submission) {
        RequestRange range = requestRanges.get(submission.id());
        return range != null && range.digest().equals(submission.digest()) ? range : null;
    }

    /**
     * Range of claim requests for one submission, under none of which a task has started.
     *
     * @param digest the digest of the body of the claimed submission
     * @param first the number of the first request
     * @param last the number of the last request; request numbers of other submissions can lie between, but are never
     *     compared with this range
     * @param highestAttempt the highest attempt number used so far
     */
    private record RequestRange(String digest, long first, long last, int highestAttempt) {
        boolean covers(long request) {
            return first <= request && request <= last;
        }

        RequestRange extendTo(long request, int attempt) {
            return new RequestRange(digest, first, Math.max(last, request), Math.max(highestAttempt, attempt));
        }
    }
}
