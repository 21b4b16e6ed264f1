package io.caperturn.entry.observe;

import io.caperturn.core.entry.EntryOccurrence;
import io.caperturn.core.model.SubmissionId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent occurrences of each submission, so that an operator can ask what happened to it.
 *
 * <p>Bounded by age and by the number of occurrences; the oldest submissions go first.
 */
public final class OccurrenceHistory {
    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final int MAXIMUM_OCCURRENCES = 50_000;

    private final Map<SubmissionId, List<HistoryItem>> submissions = new LinkedHashMap<>();
    private int occurrenceCount;

    /**
     * An occurrence with its time.
     *
     * @param occurrence what happened
     * @param at when
     */
    public record HistoryItem(EntryOccurrence occurrence, Instant at) {}

    /**
     * Adds an occurrence.
     *
     * @param occurrence what happened
     * @param at when
     */
    public synchronized void add(EntryOccurrence occurrence, Instant at) {
        submissions
                .computeIfAbsent(submissionOf(occurrence), ignored -> new ArrayList<>())
                .add(new HistoryItem(occurrence, at));
        occurrenceCount++;
        while (occurrenceCount > MAXIMUM_OCCURRENCES && submissions.size() > 1) {
            removeOldest();
        }
    }

    /**
     * Drops submissions whose last occurrence is too old.
     *
     * @param now the time
     */
    public synchronized void expire(Instant now) {
        while (!submissions.isEmpty()) {
            List<HistoryItem> eldest = submissions.values().iterator().next();
            if (eldest.getLast().at().plus(RETENTION).isAfter(now)) {
                return;
            }
            removeOldest();
        }
    }

    /**
     * Finds what happened to a submission.
     *
     * @param submission the submission
     * @return its occurrences in order, empty if none is kept
     */
    public synchronized List<HistoryItem> find(SubmissionId submission) {
        return List.copyOf(submissions.getOrDefault(submission, List.of()));
    }

    private void removeOldest() {
        SubmissionId eldest = submissions.keySet().iterator().next();
        occurrenceCount -= submissions.remove(eldest).size();
    }

    private static SubmissionId submissionOf(EntryOccurrence occurrence) {
        return switch (occurrence) {
            case EntryOccurrence.Admitted admitted -> admitted.submission();
            case EntryOccurrence.Answered answered -> answered.submission();
            case EntryOccurrence.Dispatched dispatched ->
                dispatched.attempt().key().submission();
            case EntryOccurrence.AttemptEnded ended -> ended.attempt().key().submission();
            case EntryOccurrence.LateReportDropped late -> late.attempt().key().submission();
        };
    }
}
