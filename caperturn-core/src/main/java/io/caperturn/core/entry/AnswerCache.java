package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskResult;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Answers kept for resubmissions, within bounds of time and bytes; the oldest go first.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class AnswerCache {
    private static final int OVERHEAD_BYTES = 200;

    private final Duration retention;
    private final long maximumBytes;
    private final Map<SubmissionId, Kept> answers = new LinkedHashMap<>();
    private long bytes;

    AnswerCache(Duration retention, long maximumBytes) {
        this.retention = retention;
        this.maximumBytes = maximumBytes;
    }

    void keep(SubmissionId submission, String digest, Answer answer, Instant now) {
        Kept kept = new Kept(digest, answer, now, size(answer));
        Kept earlier = answers.put(submission, kept);
        bytes += kept.bytes() - (earlier == null ? 0 : earlier.bytes());
        evict(now);
    }

    Optional<Kept> find(SubmissionId submission) {
        return Optional.ofNullable(answers.get(submission));
    }

    void evict(Instant now) {
        var oldest = answers.values().iterator();
        while (oldest.hasNext()) {
            Kept kept = oldest.next();
            boolean fits = bytes <= maximumBytes;
            boolean young = now.isBefore(kept.since().plus(retention));
            if (fits && young) {
                return;
            }
            bytes -= kept.bytes();
            oldest.remove();
        }
    }

    private static long size(Answer answer) {
        return switch (answer) {
            case Answer.Failed failed -> OVERHEAD_BYTES + failed.detail().length();
            case Answer.Complete complete ->
                OVERHEAD_BYTES
                        + complete.results().stream()
                                .mapToLong(AnswerCache::size)
                                .sum();
        };
    }

    private static long size(TaskResult result) {
        return OVERHEAD_BYTES + result.task().length() + result.result().length();
    }

    /**
     * A kept answer.
     *
     * @param digest the digest of the submission's body
     * @param answer the answer
     * @param since when it was given
     * @param bytes its approximate size
     */
    record Kept(String digest, Answer answer, Instant since, long bytes) {}
}
