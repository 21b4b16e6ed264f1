package io.caperturn.entry.observe;

import io.caperturn.core.entry.SubmissionLifecycleEvent;
import io.caperturn.core.model.SubmissionId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent lifecycle events (admission, dispatches, ends of attempts, answer) by submission, which operators query to
 * find out what happened to a submission.
 *
 * <p>Limited by age and by the total number of events; the submission recorded first is removed first.
 */
public final class SubmissionHistory {
    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final int MAXIMUM_ITEMS = 50_000;

    private final Map<SubmissionId, List<HistoryItem>> itemsBySubmission = new LinkedHashMap<>();
    private int itemCount;

    /**
     * Event with its time.
     *
     * @param event the event
     * @param at the time at which it was published
     */
    public record HistoryItem(SubmissionLifecycleEvent event, Instant at) {}

    /**
     * Adds an event.
     *
     * @param event the event
     * @param at the time at which it was published
     */
    public synchronized void add(SubmissionLifecycleEvent event, Instant at) {
        itemsBySubmission
                .computeIfAbsent(submissionOf(event), ignored -> new ArrayList<>())
                .add(new HistoryItem(event, at));
        itemCount++;
        while (itemCount > MAXIMUM_ITEMS && itemsBySubmission.size() > 1) {
            removeOldest();
        }
    }

    /**
     * Removes the submissions whose last event is older than the retention period, in the order of their first events,
     * up to the first one that is kept.
     *
     * @param now the current time
     */
    public synchronized void expire(Instant now) {
        while (!itemsBySubmission.isEmpty()) {
            List<HistoryItem> oldest = itemsBySubmission.values().iterator().next();
            if (oldest.getLast().at().plus(RETENTION).isAfter(now)) {
                return;
            }
            removeOldest();
        }
    }

    /**
     * Returns the recent events of a submission.
     *
     * @param submission the submission
     * @return the events in order, empty if none is stored
     */
    public synchronized List<HistoryItem> find(SubmissionId submission) {
        return List.copyOf(itemsBySubmission.getOrDefault(submission, List.of()));
    }

    private void removeOldest() {
        SubmissionId oldest = itemsBySubmission.keySet().iterator().next();
        itemCount -= itemsBySubmission.remove(oldest).size();
    }

    private static SubmissionId submissionOf(SubmissionLifecycleEvent event) {
        return switch (event) {
            case SubmissionLifecycleEvent.Admitted admitted -> admitted.submission();
            case SubmissionLifecycleEvent.Answered answered -> answered.submission();
            case SubmissionLifecycleEvent.Dispatched dispatched ->
                dispatched.attempt().key().submission();
            case SubmissionLifecycleEvent.AttemptEnded ended ->
                ended.attempt().key().submission();
            case SubmissionLifecycleEvent.LateReportDropped late ->
                late.attempt().key().submission();
        };
    }
}
