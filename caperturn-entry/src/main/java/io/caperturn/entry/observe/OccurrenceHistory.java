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
 * Recent occurrences (admission, dispatches, ends of attempts, answer) by submission, which operators query to find out
 * what happened to a submission.
 *
 * <p>Limited by age and by the total number of occurrences; the submission recorded first is removed first.
 */
public final class OccurrenceHistory {
    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final int MAXIMUM_OCCURRENCES = 50_000;

    private final Map<SubmissionId, List<HistoryItem>> submissions = new LinkedHashMap<>();
    private int occurrenceCount;

    /**
     * Occurrence with its time.
     *
     * @param occurrence the occurrence
     * @param at the time at which it was published
     */
    public record HistoryItem(EntryOccurrence occurrence, Instant at) {}

    /**
     * Adds an occurrence.
     *
     * @param occurrence the occurrence
     * @param at the time at which it was published
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
     * Removes submissions whose last occurrence is older than the retention period. Stops, in the order in which the
     * submissions were first recorded, at the first one that is not.
     *
     * @param now the current time
     */
    public synchronized void expire(Instant now) {
        while (!submissions.isEmpty()) {
            List<HistoryItem> oldest = submissions.values().iterator().next();
            if (oldest.getLast().at().plus(RETENTION).isAfter(now)) {
                return;
            }
            removeOldest();
        }
    }

    /**
     * Returns the recent occurrences of a submission.
     *
     * @param submission the submission
     * @return the occurrences in order, empty if none is stored
     */
    public synchronized List<HistoryItem> find(SubmissionId submission) {
        return List.copyOf(submissions.getOrDefault(submission, List.of()));
    }

    private void removeOldest() {
        SubmissionId oldest = submissions.keySet().iterator().next();
        occurrenceCount -= submissions.remove(oldest).size();
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
