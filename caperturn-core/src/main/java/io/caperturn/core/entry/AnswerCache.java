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
 * Cache of answers for resubmissions, bounded by age and by bytes; the oldest answers are evicted first.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class AnswerCache {
    /** Approximate memory of a cached answer, and of each result in it, in addition to its text. */
    private static final int OVERHEAD_BYTES = 200;

    private final Duration retention;
    private final long maximumBytes;
    private final Map<SubmissionId, CachedAnswer> answers = new LinkedHashMap<>();
    private long bytes;

    AnswerCache(Duration retention, long maximumBytes) {
        this.retention = retention;
        this.maximumBytes = maximumBytes;
    }

    void put(SubmissionId submission, String digest, Answer answer, Instant now) {
        CachedAnswer cached = new CachedAnswer(digest, answer, now, size(answer));
        CachedAnswer earlier = answers.put(submission, cached);
        bytes += cached.bytes() - (earlier == null ? 0 : earlier.bytes());
        evict(now);
    }

    Optional<CachedAnswer> find(SubmissionId submission) {
        return Optional.ofNullable(answers.get(submission));
    }

    void evict(Instant now) {
        var oldest = answers.values().iterator();
        while (oldest.hasNext()) {
            CachedAnswer cached = oldest.next();
            boolean fits = bytes <= maximumBytes;
            boolean retained = now.isBefore(cached.answeredAt().plus(retention));
            if (fits && retained) {
                return;
            }
            bytes -= cached.bytes();
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
     * A cached answer.
     *
     * @param digest the digest of the submission's body
     * @param answer the answer
     * @param answeredAt the time at which the answer was sent
     * @param bytes its approximate size in bytes
     */
    record CachedAnswer(String digest, Answer answer, Instant answeredAt, long bytes) {}
}
